// All ports of the core: what it needs from its surroundings, and nothing of how that is done. A file that
// uses one port includes that port's header instead.
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
