#pragma once

namespace rattanmount::routing {

struct retry_budget_options {
    double per_request = 0.1; ///< Retries that each request adds to the budget.
    double max_saved = 10.0;  ///< Upper limit of the budget, and its initial value.
};

/// Limits retries to a fraction of the requests, so that a failing service does not get a multiple of its
/// load.
///
/// Not thread-safe: the owner must serialise the calls.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    /// Called for each new request, but not for its retries.
    void on_request();

    /// Takes one retry from the budget.
    /// @return false if the budget is used up; the request must then not be retried.
    bool take();

private:
    retry_budget_options options;
    double balance;
};

} // namespace rattanmount::routing
