// Short names for the test doubles in tests/core/broker_fixture.h, used by older tests.
#pragma once

#include "core/broker_fixture.h"

namespace flintglade::tests {

using Ports = FakePorts;
using Answer = FakeResponseWriter;
using Core = BrokerFixture;

}  // namespace flintglade::tests
