// Runs one end-to-end scenario: starts the program, stands in for discovery, model replicas, DNS and clients
// on loopback, and carries out the steps of the text, one a line. docs/scenarios.md has the language.
#pragma once

#include <string>

namespace flintglade::tests {

enum class Protocol { http, kserve };

// Runs the scenario against this program (a path). Returns an empty string, or the step that failed and why.
std::string run_scenario(const std::string& text, Protocol protocol, const std::string& program);

}  // namespace flintglade::tests
