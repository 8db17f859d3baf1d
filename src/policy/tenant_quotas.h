// Tenants' quotas: this router's equal share of each, as a token bucket of requests. Not thread-safe.
#pragma once

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class TenantQuotas {
 public:
  // settings and learned must outlive this object. window_s: capacity of a bucket, in seconds of quota. now:
  // the time from which the buckets are refilled.
  TenantQuotas(const Settings& settings, LearnedState& learned, double window_s, double now);

  // Sets whether a new request is over its tenant's quota, and takes a token if not. If the host provides a
  // QuotaStatus, it takes precedence over the bucket.
  void charge(Request& request, double now);
  // The sum of all tenants' quotas over all routers, in requests per second.
  double total_per_s() const { return total_per_s_; }

 private:
  const Settings& settings_;
  LearnedState& learned_;
  double window_s_;
  double total_per_s_ = 0.0;
};

}  // namespace flintglade::policy
