#pragma once

#include "core/request_tracker.h"

#include <thrift/TProcessor.h>

namespace rattanmount::inner {

/// Counts the calls in progress in a Thrift processor, from the start of a request until its answer is sent.
///
/// Owned jointly by the server and its processor; any thread may call.
class call_tracker : public apache::thrift::TProcessorEventHandler {
public:
    void* getContext(const char* name, void* server_context) override;
    void freeContext(void* context, const char* name) override;

    core::request_tracker calls;
};

} // namespace rattanmount::inner
