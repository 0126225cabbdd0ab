#include "app/command_note.h"

#include "core/errors.h"
#include "front/api_client.h"
#include "front/json_codec.h"

#include <algorithm>

namespace rattanmount::app {

namespace {

std::string describe(const core::note_answer& answer) {
    auto text = std::string{core::to_string(answer.verdict)};
    text += answer.reason.empty() ? "" : " (" + answer.reason + ")";
    for (const auto& host : answer.missing) {
        text += "\n  not yet in force on " + host.value();
    }
    return text + "\n";
}

exit_code exit_code_of(core::note_verdict verdict) {
    switch (verdict) {
    case core::note_verdict::accepted:
        return exit_code::ok;
    case core::note_verdict::refused:
        return exit_code::not_run;
    case core::note_verdict::pending:
    case core::note_verdict::unsettled:
        break;
    }
    return exit_code::unsettled;
}

bool is_settled(const core::note_answer& answer) {
    return answer.verdict == core::note_verdict::accepted || answer.verdict == core::note_verdict::refused;
}

/// Repeats the call, which is idempotent, until the note is in force on every entry host or refused, or the
/// limit has passed.
core::note_answer apply(const command_call& call, const cell_options& cell, const std::string& note) {
    constexpr core::milliseconds pause{250};
    const front::api_client client{{.hosts = cell.hosts}};
    const auto deadline = call.hooks.now() + cell.limit;
    auto answer = client.apply_note(note, std::min(cell.limit, max_call_timeout));
    while (!is_settled(answer) && call.hooks.now() + pause < deadline) {
        call.hooks.sleep(pause);
        const auto time_left = std::chrono::duration_cast<core::milliseconds>(deadline - call.hooks.now());
        answer = client.apply_note(note, std::clamp(time_left, core::milliseconds{1}, max_call_timeout));
    }
    return answer;
}

exit_code run_apply(const command_call& call, const cell_options& cell, const std::string& path) {
    const auto answer = apply(call, cell, read_file(path));
    call.hooks.print(cell.json ? front::encode(answer) + "\n" : describe(answer));
    return exit_code_of(answer.verdict);
}

exit_code run_show(const command_call& call, const cell_options& cell) {
    const front::api_client client{{.hosts = cell.hosts}};
    call.hooks.print(client.show_notes(std::min(cell.limit, max_call_timeout)) + "\n");
    return exit_code::ok;
}

} // namespace

exit_code run_note(const command_call& call) {
    cxxopts::Options options{
        "rattanmount note", "note apply FILE: applies a release note and waits until it is in force on every "
                            "entry host.\nnote show: prints the policies in force, as JSON."};
    add_cell_options(options);
    options.add_options("hidden")("action", "apply or show", cxxopts::value<std::string>());
    options.add_options("hidden")("file", "the note", cxxopts::value<std::string>());
    options.parse_positional({"action", "file"});
    options.positional_help("apply FILE | show");
    const auto parsed = parse_arguments(options, call);
    if (!parsed) {
        return exit_code::ok;
    }
    const auto cell = read_cell_options(*parsed, call);
    const auto action = text_of(*parsed, "action");
    if (action == "apply" && parsed->count("file") > 0) {
        return run_apply(call, cell, text_of(*parsed, "file"));
    }
    if (action == "show" && parsed->count("file") == 0) {
        return run_show(call, cell);
    }
    throw core::invalid_argument("expected 'apply FILE' or 'show'");
}

} // namespace rattanmount::app
