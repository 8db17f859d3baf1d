#include "coordination/lease_state_machine.h"

#include <algorithm>

namespace flintglade::coordination {

const Job* LeaseStateMachine::find(std::string_view name) const {
  for (const Job& j : table_.jobs()) {
    if (j.name() == name) return &j;
  }
  return nullptr;
}
Job* LeaseStateMachine::get(const std::string& name) { return const_cast<Job*>(find(name)); }

std::vector<HeldLease> LeaseStateMachine::still(const Renew& renew) const {
  std::vector<HeldLease> out;
  for (const HeldLease& h : renew.held()) {
    const Job* job = find(h.job());
    if (job != nullptr && job->number() == h.number() && job->owner() == renew.owner() &&
        job->birth() == renew.birth())
      out.push_back(h);
  }
  return out;
}

Applied LeaseStateMachine::apply(const Command& command) {
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
    case Command::kDraw:
      out.changed = draw(command.draw());
      out.job = command.draw().job();
      break;
    default:
      break;
  }
  if (out.changed) table_.set_revision(table_.revision() + 1);
  return out;
}

// The sum of all draws of a window never passes its whole: a draw of a former owner, of a window that is over
// or one that was done already changes nothing, and the last one gets what is left.
bool LeaseStateMachine::draw(const StockDraw& d) {
  const Job* job = find(d.job());
  if (job == nullptr || job->number() != d.number() || d.amount() <= 0 || d.whole() <= 0) return false;
  Stock* stock = nullptr;
  for (Stock& s : *table_.mutable_stocks()) {
    if (s.name() == d.stock()) stock = &s;
  }
  if (stock == nullptr) {
    if (table_.stocks_size() >= kMostStocks) return false;
    stock = table_.add_stocks();
    stock->set_name(d.stock());
    stock->set_window(d.window());
    stock->set_whole(d.whole());
  }
  if (d.window() < stock->window()) return false;
  if (stock->number() == d.number() && d.serial() <= stock->serial()) return false;
  if (d.window() > stock->window()) {
    stock->set_window(d.window());
    stock->set_drawn(0);
    stock->set_whole(d.whole());
  }
  stock->set_whole(std::min(stock->whole(), d.whole()));
  const std::int64_t granted = std::clamp<std::int64_t>(stock->whole() - stock->drawn(), 0, d.amount());
  stock->set_drawn(stock->drawn() + granted);
  stock->set_number(d.number());
  stock->set_serial(d.serial());
  stock->set_granted(granted);
  return true;
}

}  // namespace flintglade::coordination
