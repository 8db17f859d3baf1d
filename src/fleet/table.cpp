#include "fleet/table.h"

namespace flintglade::fleet {

const Job* Jobs::find(std::string_view name) const {
  for (const Job& j : table_.jobs()) {
    if (j.name() == name) return &j;
  }
  return nullptr;
}
Job* Jobs::get(const std::string& name) { return const_cast<Job*>(find(name)); }

std::vector<Held> Jobs::still(const Renew& renew) const {
  std::vector<Held> out;
  for (const Held& h : renew.held()) {
    const Job* job = find(h.job());
    if (job != nullptr && job->number() == h.number() && job->owner() == renew.owner() &&
        job->birth() == renew.birth())
      out.push_back(h);
  }
  return out;
}

Applied Jobs::apply(const Command& command) {
  Applied out;
  switch (command.what_case()) {
    case Command::kGrant: {
      const Grant& g = command.grant();
      Job* job = get(g.job());
      if (job == nullptr) {
        if (table_.jobs_size() >= kMostJobs || g.seen() != 0) break;
        job = table_.add_jobs();
        job->set_name(g.job());
      } else if (job->number() != g.seen()) {
        break;  // somebody was granted it meanwhile
      }
      table_.set_last_number(table_.last_number() + 1);
      job->set_number(table_.last_number());
      job->set_owner(g.owner());
      job->set_birth(g.birth());
      job->clear_wanted();  // also where it went elsewhere, since that router is gone: its owner would give
                            // it up at once
      out.job = g.job();
      out.changed = true;
      break;
    }
    case Command::kRenew:
      out.renewed = still(command.renew());
      break;
    case Command::kRelease: {
      Job* job = get(command.release().job());
      if (job == nullptr || job->number() != command.release().number() || job->owner().empty()) break;
      job->clear_owner();
      job->clear_birth();
      out.job = job->name();
      out.changed = true;
      break;
    }
    case Command::kMove: {
      Job* job = get(command.move().job());
      if (job == nullptr || job->owner() == command.move().to()) break;
      job->set_wanted(command.move().to());
      out.job = job->name();
      out.changed = true;
      break;
    }
    default:
      break;
  }
  if (out.changed) table_.set_revision(table_.revision() + 1);
  return out;
}

}  // namespace flintglade::fleet
