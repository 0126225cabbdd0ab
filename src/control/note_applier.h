#pragma once

#include "cell/membership.h"
#include "control/config_replica.h"
#include "control/host_hooks.h"
#include "core/calls.h"
#include "core/ids.h"
#include "core/time.h"
#include "release/release_note.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanmount::control {

/// Applies release notes: records each one, and answers its operator when the note is in force on every live
/// entry host.
///
/// Owned by host_control; used by the control thread only.
class note_applier {
public:
    /// @param config records the notes; must outlive this object.
    /// @param members knows what the other hosts have applied; must outlive this object.
    /// @param hooks report the results; must outlive this object.
    note_applier(config_replica& config, const cell::membership& members, const host_hooks& hooks);
    ~note_applier() = default;
    note_applier(const note_applier&) = delete;
    note_applier& operator=(const note_applier&) = delete;

    /// Submits a release note.
    /// @param limit how long to wait until the note is in force everywhere.
    /// @param respond called once: when the note is refused or in force on every live host, or when the limit
    ///        has passed.
    void apply(const release::release_note& note, core::milliseconds limit, core::steady_time now,
               std::function<void(core::note_answer)> respond);

    /// Answers the recorded notes that are in force everywhere or whose limit has passed. Called at each
    /// tick.
    void answer_due(core::steady_time now);

private:
    struct waiting_note {
        core::note_id id;
        core::steady_time until;
        std::function<void(core::note_answer)> respond;
    };

    void on_recorded(const release::release_note& note, core::steady_time until,
                     const std::function<void(core::note_answer)>& respond);

    config_replica& config;
    const cell::membership& members;
    const host_hooks& hooks;
    std::vector<waiting_note> waiting_notes;
};

} // namespace rattanmount::control
