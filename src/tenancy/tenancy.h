#pragma once

/// @file
/// The package `tenancy`: what the configuration grants to the teams that share a cell, and who calls for
/// which team.
///
/// `team_policy` holds a team's keys, its weight, its rate and its cap. `key_ring` finds the team of a key.
/// `caller` is whom a request is made for. `keyed_hash` hashes keys under a secret seed.
/// The package decides nothing about tasks: `dispatch/team_accounts` applies caps and shares, because only
/// the leader of the cell knows what runs.
///
/// Depends on: core.
/// Threads: immutable values that any thread may read; see each class. No I/O, no clock.

#include "tenancy/caller.h"
#include "tenancy/key_ring.h"
#include "tenancy/keyed_hash.h"
#include "tenancy/team_policy.h"
