// Former names of tests/core/broker_fixture.h, for tests that have not been moved yet.
#pragma once

#include "core/broker_fixture.h"

namespace flintglade::tests {

using Ports = FakePorts;
using Answer = FakeResponseWriter;
using Core = BrokerFixture;

}  // namespace flintglade::tests
