// Tenants' quotas: this router's even part of each, as a token bucket of requests. Not thread-safe.
#pragma once

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class TenantQuotas {
 public:
  // settings and learned outlive this. window: seconds of quota that a bucket holds. now: start of the
  // buckets.
  TenantQuotas(const Settings& settings, LearnedState& learned, double window_s, double now);

  // Sets whether a new request is over its tenant's quota, and takes a token if not. What the host knows
  // (QuotaStatus) goes before the bucket.
  void charge(Request& request, double now);
  // Requests a second, of all tenants and over all routers.
  double total_per_s() const { return total_per_s_; }

 private:
  const Settings& settings_;
  LearnedState& learned_;
  double window_s_;
  double total_per_s_ = 0.0;
};

}  // namespace flintglade::policy
