// Runs one end-to-end scenario: starts the program, plays discovery, model replicas, DNS and clients on
// loopback, and executes the steps of the text, one per line. docs/scenarios.md describes the language.
#pragma once

#include <string>

namespace flintglade::tests {

enum class Protocol { http, kserve };

// Runs the scenario against the executable at the path 'program'. Returns an empty string, or the step that
// failed, the reason and the program's log.
std::string run_scenario(const std::string& text, Protocol protocol, const std::string& program);

}  // namespace flintglade::tests
