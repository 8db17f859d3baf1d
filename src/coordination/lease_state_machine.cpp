#include "coordination/lease_state_machine.h"

#include <algorithm>

namespace flintglade::coordination {

const Job* LeaseStateMachine::find(std::string_view name) const {
  for (const Job& job : table_.jobs()) {
    if (job.name() == name) return &job;
  }
  return nullptr;
}

Job* LeaseStateMachine::find_mutable(const std::string& name) { return const_cast<Job*>(find(name)); }

std::vector<HeldLease> LeaseStateMachine::still_held(const Renew& renew) const {
  std::vector<HeldLease> out;
  for (const HeldLease& held : renew.held()) {
    const Job* job = find(held.job());
    if (job != nullptr && job->number() == held.number() && job->owner() == renew.owner() &&
        job->birth() == renew.birth())
      out.push_back(held);
  }
  return out;
}

Applied LeaseStateMachine::apply(const Command& command) {
  Applied out;
  switch (command.what_case()) {
    case Command::kGrant:
      out.changed = grant(command.grant());
      out.job = command.grant().job();
      break;
    case Command::kRenew:
      out.renewed = still_held(command.renew());
      break;
    case Command::kRelease:
      out.changed = release(command.release());
      out.job = command.release().job();
      break;
    case Command::kMove:
      out.changed = move(command.move());
      out.job = command.move().job();
      break;
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

bool LeaseStateMachine::grant(const Grant& grant) {
  Job* job = find_mutable(grant.job());
  if (job == nullptr) {
    if (table_.jobs_size() >= kMaxJobs || grant.seen() != 0) return false;
    job = table_.add_jobs();
    job->set_name(grant.job());
  } else if (job->number() != grant.seen()) {
    return false;  // another grant was applied since the leader decided on this one
  }
  table_.set_last_number(table_.last_number() + 1);
  job->set_number(table_.last_number());
  job->set_owner(grant.owner());
  job->set_birth(grant.birth());
  // The operator's request is cleared even if the job was granted to another router, because the requested
  // one is no longer alive: with the request still in the table the new owner would release the job at once.
  job->clear_wanted();
  return true;
}

bool LeaseStateMachine::release(const Release& release) {
  Job* job = find_mutable(release.job());
  if (job == nullptr || job->number() != release.number() || job->owner().empty()) return false;
  job->clear_owner();
  job->clear_birth();
  return true;
}

bool LeaseStateMachine::move(const Move& move) {
  Job* job = find_mutable(move.job());
  if (job == nullptr || job->owner() == move.to()) return false;
  job->set_wanted(move.to());
  return true;
}

Stock* LeaseStateMachine::find_or_add_stock(const StockDraw& draw) {
  Stock* found = nullptr;
  for (Stock& stock : *table_.mutable_stocks()) {
    if (stock.name() == draw.stock()) found = &stock;
  }
  if (found != nullptr || table_.stocks_size() >= kMaxStocks) return found;
  found = table_.add_stocks();
  found->set_name(draw.stock());
  found->set_window(draw.window());
  found->set_whole(draw.whole());
  return found;
}

// The sum of all draws of a window never exceeds its total. A draw by a former owner, of an earlier window,
// or one that was already applied has no effect; a draw that exceeds the remaining amount gets only that.
bool LeaseStateMachine::draw(const StockDraw& draw) {
  const Job* job = find(draw.job());
  if (job == nullptr || job->number() != draw.number() || draw.amount() <= 0 || draw.whole() <= 0)
    return false;
  Stock* stock = find_or_add_stock(draw);
  if (stock == nullptr || draw.window() < stock->window()) return false;
  if (stock->number() == draw.number() && draw.serial() <= stock->serial()) return false;
  if (draw.window() > stock->window()) {
    stock->set_window(draw.window());
    stock->set_drawn(0);
    stock->set_whole(draw.whole());
  }
  stock->set_whole(std::min(stock->whole(), draw.whole()));
  const std::int64_t granted = std::clamp<std::int64_t>(stock->whole() - stock->drawn(), 0, draw.amount());
  stock->set_drawn(stock->drawn() + granted);
  stock->set_number(draw.number());
  stock->set_serial(draw.serial());
  stock->set_granted(granted);
  return true;
}

}  // namespace flintglade::coordination
