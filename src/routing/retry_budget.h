#pragma once

namespace rattanmount::routing {

struct retry_budget_options {
    double per_request = 0.1; ///< Retries that each request pays in.
    double most = 10.0;       ///< Retries that can be saved up, and that there are at first.
};

/// Keeps retries to a part of the requests, so that a failing service is not sent a multiple of its load.
///
/// Not synchronised: its owner sees to it that one thread calls at a time.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    /// Takes note of a new request, not of its retries.
    void on_request();

    /// Takes one retry out.
    /// @return whether there was one; where not, the request must not be tried again.
    bool take();

private:
    retry_budget_options options;
    double saved;
};

} // namespace rattanmount::routing
