#pragma once

#include "core/calls.h"

#include <string>
#include <vector>

namespace rattanmount::front {

/// @file
/// The JSON form of the requests and answers of core::cell_calls; docs/API.md describes it.
///
/// Pure functions; any thread may call them. Every decode function throws core::invalid_argument, naming the
/// place, where the text is not valid JSON or has an unknown, missing, duplicate or wrongly typed field.

[[nodiscard]] std::string encode(const core::job_spec& spec);
/// @return the job; checked by job_spec::check().
[[nodiscard]] core::job_spec decode_job_spec(const std::string& text);

[[nodiscard]] std::string encode(const core::job_answer& answer);
[[nodiscard]] core::job_answer decode_job_answer(const std::string& text);

[[nodiscard]] std::string encode(const core::quick_request& request);
[[nodiscard]] core::quick_request decode_quick_request(const std::string& text);

[[nodiscard]] std::string encode(const core::quick_answer& answer);
[[nodiscard]] core::quick_answer decode_quick_answer(const std::string& text);

[[nodiscard]] std::string encode(const core::note_answer& answer);
[[nodiscard]] core::note_answer decode_note_answer(const std::string& text);

[[nodiscard]] std::string encode(const std::vector<core::host_status>& hosts);
[[nodiscard]] std::vector<core::host_status> decode_hosts(const std::string& text);

[[nodiscard]] std::string encode_explanation(const std::vector<std::string>& lines);
[[nodiscard]] std::vector<std::string> decode_explanation(const std::string& text);

/// Checks that a release note is valid JSON before it is handed on.
/// @param text the operator's note.
void check_note_text(const std::string& text);

/// The body of an answer to a request that never reached a hook, or whose hook failed.
/// @param state refused, or unsettled where the request may have had its effect.
/// @param result not_run or unknown.
/// @param reason why, in plain text.
[[nodiscard]] std::string encode_error(core::answer_state state, core::outcome result,
                                       const std::string& reason);

} // namespace rattanmount::front
