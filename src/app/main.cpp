#include "app/command_line.h"
#include "app/entry_host.h"
#include "platform/platform_host.h"

int main(int argc, char** argv) {
    return rattanmount::app::run_command(
        argc, argv,
        rattanmount::app::make_process_hooks(rattanmount::app::run_entry_host,
                                             rattanmount::platform::run_platform_host));
}
