// The settings (GW_CONFIG) for tests of complete routers: one class of idempotent requests (chat) and one of
// requests that are not idempotent (order).
#pragma once

namespace flintglade::tests {

inline constexpr char kSettings[] = R"({"service_type":"llm","balancers":1,"rank":0,"az":0,
 "failure_domains":["hall"],"models":["gpu"],"registry_mode":"on_request","weight_source":"rough",
 "classes":[{"name":"chat","aim":1.2,"hard_limit":8,"worth":5,"semantics":"safe","streamed":true},
            {"name":"order","aim":1.2,"hard_limit":8,"worth":5,"semantics":"unsafe","streamed":true}],
 "accounts":[{"name":"acme","quota_per_s":100,"share":1}],
 "permissions":{"may_cancel":true,"may_duplicate":true,"most_tries":3,"retry_after":true,
                "max_retry_after":2,"dial_timeout":0.15,"conn_idle":5},
 "invariants":{"cold":0.1,"cold_from":1,"drain_grace":2,"grace_to_answer":0.02,"must_ask_in":10,"fall":3,
               "fall_multiple":100}})";

}  // namespace flintglade::tests
