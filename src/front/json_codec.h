#pragma once

#include "core/calls.h"

#include <string>
#include <vector>

namespace rattanmount::front {

/// @file
/// The JSON form of the requests and answers of core::cell_calls; docs/API.md describes it.
///
/// Pure functions; any thread may call them. Every decode function throws core::invalid_argument if the text
/// is not valid JSON or has a missing, duplicate or wrongly typed field; the error names the field or
/// position. An unknown field is an error as well, except at the top level of a response.

[[nodiscard]] std::string encode(const core::job_spec& spec);
/// @return the job, validated with job_spec::check().
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

/// Checks that a release note is a JSON object; comments are allowed because operators write notes by hand.
/// @param text the operator's note.
/// @throws core::invalid_argument if it is not.
void check_note_text(const std::string& text);

/// Returns the body of an error response: the request was not passed to a hook, or the hook failed.
/// @param state `refused`, or `unsettled` if the request may have taken effect.
/// @param result `not_run` or `unknown`.
/// @param reason the error message.
[[nodiscard]] std::string encode_error(core::answer_state state, core::outcome result,
                                       const std::string& reason);

} // namespace rattanmount::front
