// All ports of the core: the interfaces through which it reaches the rest of the process, without their
// implementations. A file that uses one port includes that port's header instead.
#pragma once

#include "core/clock.h"
#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/replica_client.h"
#include "core/request.h"
#include "core/response_writer.h"
#include "core/shared_state_port.h"
#include "core/time.h"
#include "core/trace.h"
