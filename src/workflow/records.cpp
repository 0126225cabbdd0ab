#include "workflow/records.h"

namespace rattanmount::workflow {

std::string_view to_string(job_phase phase) {
    switch (phase) {
    case job_phase::queued:
        return "queued";
    case job_phase::running:
        return "running";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace rattanmount::workflow
