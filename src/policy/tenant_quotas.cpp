#include "policy/tenant_quotas.h"

#include <algorithm>

namespace flintglade::policy {
namespace {

// Minimum capacity of a bucket. A router sees few of a tenant's requests; with a smaller bucket, random
// bursts would count as over quota.
constexpr double kMinBucketRequests = 3.0;

}  // namespace

TenantQuotas::TenantQuotas(const Settings& settings, LearnedState& learned, double window_s, double now)
    : settings_(settings), learned_(learned), window_s_(window_s) {
  learned.quota_tokens.assign(settings.tenants.size(), kMinBucketRequests);
  learned.quota_updated_at.assign(settings.tenants.size(), now);
  for (const TenantSettings& tenant : settings.tenants) total_per_s_ += tenant.quota_per_s;
}

void TenantQuotas::charge(Request& request, double now) {
  const NewRequest& received = request.received;
  request.over_quota = received.quota_status == QuotaStatus::over;
  if (received.tenant >= settings_.tenants.size() || received.quota_status != QuotaStatus::unknown) return;
  const double quota = settings_.tenants[received.tenant].quota_per_s / settings_.balancers;
  if (!(quota > 0.0)) return;
  double& tokens = learned_.quota_tokens[received.tenant];
  double& updated_at = learned_.quota_updated_at[received.tenant];
  tokens = std::min(std::max(kMinBucketRequests, quota * window_s_), tokens + quota * (now - updated_at));
  updated_at = now;
  request.over_quota = tokens < 1.0;
  if (!request.over_quota) tokens -= 1.0;
}

}  // namespace flintglade::policy
