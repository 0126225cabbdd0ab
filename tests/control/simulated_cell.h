#pragma once

#include "control/host_control.h"
#include "core/core.h"
#include "tests/control/simulated_callers.h"
#include "tests/control/simulated_log.h"
#include "tests/control/simulated_observer.h"
#include "tests/control/simulated_worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattanmount::tests {

struct simulated_cell_options {
    std::uint32_t seed = 1;
    int hosts = 3;
    std::uint32_t shards = 4;
    int racks = 4;
    int workers_per_rack = 2;
    double lost_calls = 0.0;   ///< Share of calls whose request never arrives.
    double lost_answers = 0.0; ///< Share of calls that take effect but whose answer is lost.
    double failing_tasks = 0.0;
    /// Hosts and racks are distributed round-robin over the data centres.
    std::vector<cell::region_layout> regions = {
        {.name = core::region_id{"fiji"}, .data_centres = {core::data_centre_id{"suva-1"}}}};
    core::resources worker_capacity{.millicores = 8000, .memory_mb = 8192};
    core::milliseconds task_hold{4000};
    std::vector<external::listed_executor> executors;
    std::function<void(control::host_control_options&)> adjust; ///< Modifies the options of each host.
    simulated_observer observer;
};

/// A start that a host sent to a worker.
struct sent_start {
    int host = 0;
    core::steady_time at;
    core::attempt_id attempt;
};

/// Several host_controls in one thread and virtual time, with an in-memory platform and injected faults.
///
/// Invariants are checked against what the workers observed, never against what a host reports. Equal options
/// give equal runs.
class simulated_cell {
public:
    explicit simulated_cell(simulated_cell_options options);
    ~simulated_cell();
    simulated_cell(const simulated_cell&) = delete;
    simulated_cell& operator=(const simulated_cell&) = delete;

    /// Advances virtual time.
    void run_for(core::milliseconds time);
    /// Submits the pools and the team through host 0 and waits until they are in force.
    void apply_first_note();

    void kill(int host);
    void restart(int host); ///< Starts a killed host as a new incarnation.
    void pause(int host, core::milliseconds time);
    void cut(int host, bool from_log, bool from_peers, bool from_workers);
    void heal(int host) { this->cut(host, false, false, false); }
    void set_log_down(bool down) { this->log_down = down; }
    void set_fleet_lag(bool lag) { this->fleet_lags = lag; }
    void drop_from_fleet(const core::worker_id& worker);
    void cut_worker(const core::worker_id& worker, bool cut);
    [[nodiscard]] simulated_worker& worker(std::size_t index) { return *this->workers.at(index); }
    [[nodiscard]] std::size_t worker_count() const { return this->workers.size(); }
    [[nodiscard]] control::host_control* host(int index);
    [[nodiscard]] bool alive(int index) const;

    void submit(int host, const core::job_spec& spec) { this->callers.submit(host, spec); }
    void cancel(int host, const core::job_id& job) { this->callers.cancel(host, job); }
    void propose(int host, const release::release_note& note,
                 std::function<void(core::note_answer)> respond) {
        this->callers.propose(host, note, std::move(respond));
    }

    /// @return the latest answer to a status call through any live host.
    [[nodiscard]] std::optional<core::job_answer> status(const core::job_id& job) const {
        return this->callers.status(job);
    }
    [[nodiscard]] const std::map<core::job_id, submitted_job>& jobs() const { return this->callers.jobs(); }
    [[nodiscard]] core::steady_time now() const { return this->time; }
    [[nodiscard]] std::vector<observed_run> runs() const;
    [[nodiscard]] const std::vector<sent_start>& sent_starts() const { return this->starts; }
    [[nodiscard]] std::mt19937& random() { return this->generator; }
    simulated_log& log() { return this->entries; }

    /// @return a description of every violated invariant.
    [[nodiscard]] std::vector<std::string> violations();

private:
    struct host_state {
        std::unique_ptr<control::host_control> control;
        std::uint32_t incarnation = 0;
        core::steady_time paused_until{};
        bool no_log = false;
        bool no_peers = false;
        bool no_workers = false;
    };

    /// Tells the observer that a host's control state is entered or left, and the opposite on destruction.
    class control_scope {
    public:
        control_scope(const simulated_cell& cell, int host, bool enters);
        ~control_scope();
        control_scope(const control_scope&) = delete;
        control_scope& operator=(const control_scope&) = delete;

    private:
        void notify(bool entered) const;

        const simulated_cell& cell;
        int host;
        bool enters;
    };

    /// @return the hook, wrapped so that it counts as running outside the host's control state.
    template <typename... Arguments>
    std::function<void(Arguments...)> outside(int host, std::function<void(Arguments...)> hook) {
        return [this, host, hook = std::move(hook)](Arguments... arguments) {
            const control_scope scope{*this, host, false};
            hook(arguments...);
        };
    }

    [[nodiscard]] simulated_callers_hooks caller_hooks();
    [[nodiscard]] core::data_centre_id data_centre_of(int number) const;
    void schedule(core::steady_time when, std::function<void()> work);
    void start(int host);
    /// Runs work on a host as soon as it is not paused; drops the work if that incarnation has ended.
    void on_host(int host, std::uint32_t incarnation, core::milliseconds delay,
                 std::function<void(control::host_control&)> work);
    [[nodiscard]] control::host_control_options options_of(int host) const;
    [[nodiscard]] control::host_hooks hooks_of(int host, std::uint32_t incarnation);
    [[nodiscard]] core::milliseconds delay();
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] int host_at(const core::endpoint& inner) const;
    [[nodiscard]] simulated_worker* worker_at(const core::endpoint& address) const;
    void send_append(int host, std::uint32_t incarnation, const ledger::append_request& request);
    void send_read(int host, std::uint32_t incarnation, const ledger::read_request& request);
    void send_lease(int host, std::uint32_t incarnation, const control::lease_order& order);
    void send_start(int host, std::uint32_t incarnation, const control::start_order& order);
    void tick(int host, std::uint32_t incarnation);

    simulated_cell_options options;
    std::mt19937 generator;
    core::steady_time time{std::chrono::hours{1}};
    std::multimap<core::steady_time, std::function<void()>> events;
    simulated_log entries;
    bool log_down = false;
    bool fleet_lags = false;
    external::fleet_list fleet;
    external::fleet_list shown_fleet;
    std::vector<std::unique_ptr<simulated_worker>> workers;
    std::map<std::string, simulated_worker*> worker_by_path;
    std::set<core::worker_id> cut_workers;
    std::vector<host_state> hosts;
    simulated_callers callers;
    std::vector<sent_start> starts;
};

} // namespace rattanmount::tests
