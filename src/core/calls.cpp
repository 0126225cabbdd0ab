#include "core/calls.h"

namespace rattanmount::core {

std::string_view to_string(answer_state state) {
    switch (state) {
    case answer_state::accepted:
        return "accepted";
    case answer_state::ended:
        return "ended";
    case answer_state::refused:
        return "refused";
    case answer_state::unsettled:
        return "unsettled";
    }
    return "?";
}

std::string_view to_string(note_verdict verdict) {
    switch (verdict) {
    case note_verdict::accepted:
        return "accepted";
    case note_verdict::pending:
        return "pending";
    case note_verdict::refused:
        return "refused";
    case note_verdict::unsettled:
        return "unsettled";
    }
    return "?";
}

} // namespace rattanmount::core
