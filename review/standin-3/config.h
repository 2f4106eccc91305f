// The operator's config of the cases, in the form that the users' pages show.
#pragma once

#include <string>

namespace standin {

inline const std::string Key = "6wsjnbanfqasnmgkcuyj";

// Two services: `catalogue` with an idempotent route, `orders` with a non_idempotent one and an upload.
inline std::string config(int version, const std::string &moreRoutes = "", const std::string &moreKeys = "")
{
    return "{\"version\":\"r" + std::to_string(version) + R"(","routes":{"columns":["name","host","prefix","kind",)"
            R"("timeout_s","target_latency_s","priority","traffic_split","max_attempts","auth_exempt","service"],"rows":[)"
            R"(["r-lookup","hulo84.example","/lookup/","idempotent",6,1.5,2,null,2,false,"catalogue"],)"
            R"(["r-order","hulo84.example","/order/","non_idempotent",6,1.5,0,null,2,false,"orders"],)"
            R"(["r-upload","hulo84.example","/upload/","upload",20,10,1,null,2,false,"orders"])"
            + moreRoutes
            + R"(]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[)"
            R"(["catalogue","/health",1150,"h1",false],["orders","/health",1150,"h1",false]]},)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},)"
            R"("tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["pulo780",[")"
            + Key + "\"" + moreKeys + R"(],1,0,0]]}})";
}

// The head of a client's request up to the fields that frame its body.
inline std::string requestHead(const std::string &method, const std::string &path, const std::string &id, int deadline,
                               const std::string &key = Key)
{
    return method + " " + path + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Chervilmount-Attempt-Id: " + id
            + "\r\nX-Chervilmount-Deadline-Ms: " + std::to_string(deadline) + "\r\nX-Chervilmount-Key: " + key
            + "\r\n";
}

} // namespace standin
