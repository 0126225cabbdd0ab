#pragma once

#include "core/activity.h"

#include <thrift/TProcessor.h>

namespace rattanmount::inner {

/// Tells an activity of each call that a Thrift processor carries out, from its name to its whole answer.
///
/// Owned by its server and its processor; any thread may call.
class call_tracker : public apache::thrift::TProcessorEventHandler {
public:
    void* getContext(const char* name, void* server_context) override;
    void freeContext(void* context, const char* name) override;

    core::activity calls;
};

} // namespace rattanmount::inner
