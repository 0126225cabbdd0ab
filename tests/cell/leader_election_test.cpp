#include "cell/leader_election.h"

#include <catch2/catch.hpp>

namespace rattanmount::tests {

namespace {

using namespace std::chrono_literals;
using cell::claim_standing;

constexpr core::steady_time begin{1h};

cell::leader_election election_without_jitter() {
    return cell::leader_election{{.host = core::host_id{"own"},
                                  .self = core::incarnation_id{"own-1"},
                                  .successor_delay = 60ms,
                                  .outranked_delay = 400ms,
                                  .random = [] { return 0.0; }}};
}

/// Lets the election see a leader at `begin`, and its next incarnation later.
void restart_leader(cell::leader_election& election, core::milliseconds seen_after) {
    const core::host_id leader{"leader"};
    election.on_record(
        {.epoch = core::epoch_id{1}, .host = leader, .leader = core::incarnation_id{"leader-1"}}, begin);
    election.on_caught_up(begin + seen_after);
    election.on_member(leader, core::incarnation_id{"leader-2"}, begin + seen_after);
}

} // namespace

// Guards against a takeover by a host with a small processor share while better candidates are alive.
TEST_CASE("an outranked host waits from the moment at which it learns that the leader has ended") {
    auto election = election_without_jitter();
    restart_leader(election, 800ms);
    CHECK_FALSE(election.claim(begin + 800ms, claim_standing::outranked));
    election.on_caught_up(begin + 1150ms);
    CHECK_FALSE(election.claim(begin + 1150ms, claim_standing::outranked));
    election.on_caught_up(begin + 1250ms);
    CHECK(election.claim(begin + 1250ms, claim_standing::outranked));
}

TEST_CASE("a host that is not outranked claims at once when it learns that the leader has ended") {
    auto election = election_without_jitter();
    restart_leader(election, 800ms);
    CHECK(election.claim(begin + 800ms, claim_standing::equal));
}

} // namespace rattanmount::tests
