#pragma once

#include "dispatch/dispatcher.h"
#include "workflow/job_book.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::tests {

/// How a simulated cell is made, and what goes wrong in it.
struct simulated_cell_options {
    std::uint64_t seed = 1;
    std::uint32_t workers = 8;
    core::resources capacity{.millicores = 16000, .memory_mb = 64000, .accelerators = 0};
    core::milliseconds latency{5};      ///< One way, between a host and a worker.
    core::milliseconds record_time{18}; ///< For the log to store what is given to it.
    double failing_share = 0;           ///< Of the runs, by their own fault.
    double lost_share = 0;              ///< Of the orders: they get no answer and are not carried out.
    double late_share = 0;              ///< Of the orders: no answer, and carried out later.
    core::milliseconds late_time{3000}; ///< How much later at most.
    double allowed_share = 1;           ///< Of the workers, by advice, where a queue needs it.
    core::milliseconds advice_time{40};
};

/// A cell in virtual time: a dispatcher, simulated workers, and a log that is a list.
///
/// The workers judge: violations() holds each promise that was seen broken, from what the workers saw alone.
/// One thread.
class simulated_cell {
public:
    explicit simulated_cell(simulated_cell_options options);
    ~simulated_cell();
    simulated_cell(const simulated_cell&) = delete;
    simulated_cell& operator=(const simulated_cell&) = delete;

    /// Hands a job in, as if its acceptance were in the log.
    void submit(workflow::job_request request, workflow::queue_policy policy);

    /// Records a cancellation.
    void cancel(const workflow::job_key& key);

    /// Lets time pass.
    void run_for(core::milliseconds time);

    /// Another host takes the lead: the state of the former is lost, but what it sent may still arrive.
    /// @param list_complete_in how long workers may be missing from the platform's list.
    void change_leader(core::milliseconds list_complete_in = core::milliseconds{0});

    /// A worker is missing from the platform's list, or is in it again.
    void set_listed(std::uint32_t index, bool listed);

    /// A worker starts again under its name and knows nothing of before.
    void restart_worker(std::uint32_t index);

    /// A worker and the hosts no longer reach each other; it runs on.
    void set_disconnected(std::uint32_t index, bool disconnected);

    /// Holds that are sent to a worker from now on are kept back at the leader, and told as not answered.
    /// @param time how long each is kept back.
    void stall_holds(std::uint32_t index, core::milliseconds time);

    /// A worker asks that nothing more be started on it.
    void drain_worker(std::uint32_t index);

    /// The log answers nothing for a while, so nothing is recorded.
    void set_log_down(bool down);

    /// @return how far a job is, as the log has it.
    [[nodiscard]] workflow::job_phase phase_of(const std::string& key) const;

    /// @return how long a job took from its submission until the log had it over.
    [[nodiscard]] core::milliseconds time_taken(const std::string& key) const;

    /// @return how many jobs are over.
    [[nodiscard]] std::size_t over_jobs() const;

    /// @return the promises that were broken, as text.
    [[nodiscard]] const std::vector<std::string>& violations() const { return this->found_violations; }

    /// @return how many runs the workers began.
    [[nodiscard]] std::uint64_t started_runs() const { return this->starts; }

    /// @param job a job.
    /// @return how many of its runs are at work.
    [[nodiscard]] std::size_t running_of(const std::string& job) const;

    /// How long a task works; set it to tell apart tasks and workers. By default the step's estimate.
    std::function<core::milliseconds(const workflow::task_name&, const workflow::step_request&,
                                     std::uint32_t worker)>
        work_time;

    /// Tells whether a run fails; by default by chance, with the failing share.
    std::function<bool(const workflow::run_name&, std::uint32_t worker)> fails;

    /// @return the name of a worker.
    [[nodiscard]] static core::worker_id worker_name(std::uint32_t index);

    [[nodiscard]] core::steady_time now() const { return this->time; }
    [[nodiscard]] dispatch::dispatcher& current_dispatcher() { return *this->dispatcher; }
    [[nodiscard]] std::mt19937_64& random() { return this->random_engine; }

private:
    struct sim_run {
        workflow::step_request step;
        core::steady_time ends_at;
        bool will_fail = false;
        std::uint64_t id = 0;
        bool long_running = false;
    };
    struct sim_worker {
        dispatch::worker_entry entry;
        std::uint64_t token = 0;
        core::steady_time born;
        core::steady_time lease_end;
        std::map<workflow::run_name, sim_run> runs;
        std::map<workflow::task_name, std::uint32_t> highest_run;
        std::vector<dispatch::ended_row> ended;
        std::map<std::uint64_t, core::steady_time> ended_at; ///< By number of the end.
        core::steady_time lapsed_at;                         ///< When its lease lapsed last.
        bool lapsed = true;
        std::uint64_t next_end = 1;
        core::resources taken;
        bool disconnected = false;
        core::milliseconds stall{0}; ///< Of holds to it; 0: none.
        bool listed = true;
        std::uint64_t life_number = 0;
        struct waiting_hold {
            dispatch::hold_order order;
            std::uint64_t number = 0;
        };
        std::vector<waiting_hold> holds;
    };
    struct job_record {
        core::steady_time submitted;
        core::steady_time over;
    };

    void schedule(core::steady_time when, std::function<void()> what);
    void make_dispatcher();
    void run_dispatcher();
    bool chance(double share);
    dispatch::worker_time clock_of(const sim_worker& worker) const;
    std::uint32_t index_of(const core::worker_id& worker) const;
    dispatch::order_reply do_start(std::uint32_t index, const dispatch::start_order& order);
    dispatch::order_reply do_stop(std::uint32_t index, const dispatch::stop_order& order);
    void do_hold(std::uint32_t index, const dispatch::hold_order& order);
    void answer_hold(std::uint32_t index, const dispatch::hold_order& order);
    void forget_ends(sim_worker& worker, std::uint64_t up_to);
    void extend_lease(sim_worker& worker, dispatch::worker_time until);
    void end_run(std::uint32_t index, const workflow::run_name& run, dispatch::run_end how);
    void check_lease(std::uint32_t index);
    void check_start(std::uint32_t index, const workflow::run_name& run, const workflow::step_request& step);
    const workflow::step_request* step_of(const workflow::task_name& task) const;
    void check_budget(const workflow::task_name& task);
    void add_violation(const std::string& text);
    template <typename Order, typename Act, typename OnReply>
    void deliver(const Order& order, Act act, OnReply on_reply);

    simulated_cell_options options;
    std::mt19937_64 random_engine;
    core::steady_time time;
    std::multimap<core::steady_time, std::function<void()>> events;
    std::vector<sim_worker> workers;
    std::map<core::worker_id, std::uint32_t> indexes;
    workflow::job_book book;
    std::unique_ptr<dispatch::dispatcher> dispatcher;
    std::uint64_t leader_number = 0;
    std::uint64_t offset = 0;
    bool log_down = false;
    std::vector<std::function<void()>> delayed_writes;
    std::map<workflow::job_key, job_record> job_times;
    std::map<workflow::job_key, workflow::job_request> accepted; ///< As handed in.
    std::set<workflow::task_name> done_tasks;                    ///< Some run of which has ended well.
    std::set<workflow::task_name> recorded_tasks; ///< Whose good end the leader has taken note of.
    std::map<workflow::task_name, core::steady_time> last_start;
    std::map<workflow::task_name, std::vector<core::steady_time>> recorded_failures; ///< When they ended.
    std::vector<std::string> found_violations;
    std::uint64_t starts = 0;
    std::uint64_t run_ids = 0;
};

} // namespace rattanmount::tests
