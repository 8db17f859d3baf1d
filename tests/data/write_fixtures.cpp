// Has written the stored files in this folder: write_fixtures FOLDER
//
// The committed files were written by the version before the refactoring for readability. They stand for what
// operators have on their disks and are never to be written anew: a new form gets a new file beside the old
// one.
#include <stdlib.h>

#include <cstdio>
#include <fstream>

#include "recordings/stored_samples.h"

namespace {

using namespace flintglade;
using namespace flintglade::tests;

std::string new_folder() {
  char name[] = "/tmp/write_fixtures.XXXXXX";
  const char* made = ::mkdtemp(name);
  return made == nullptr ? "" : made;
}

bool write(const std::string& path, const std::string& bytes) {
  if (std::ifstream(path).good()) {
    std::fprintf(stderr, "%s: is there already, and is never written anew\n", path.c_str());
    return false;
  }
  std::ofstream file(path, std::ios::binary);
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  return !bytes.empty() && file.flush().good();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const std::string folder = std::string(argv[1]) + "/", scratch = new_folder();
  if (scratch.empty()) return 1;
  const std::string why = write_voter_record(scratch + "/voter");
  if (!why.empty()) std::fprintf(stderr, "%s\n", why.c_str());
  const bool good = why.empty() &&
                    write(folder + kStateFile,
                          hot_restart::encode_snapshot(sample_state(), state_writer(), kStateWrittenAt)) &&
                    write(folder + kVoterFile, file_contents(scratch + "/voter/record.log")) &&
                    write(folder + kSharedPartsFile, sample_shared_state()) &&
                    write(folder + kProcessSlotsFile, write_process_slots(scratch));
  return good ? 0 : 1;
}
