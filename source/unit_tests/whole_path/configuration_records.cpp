#include "configuration_records.hpp"

#include "inventory/hash.hpp"

namespace reedramp::whole_path {

namespace {

auto put(const std::string& kind, const std::string& value) -> std::string
{
    return R"({"put":")" + kind + R"(","value":{)" + value + "}}";
}

auto put_server(const std::string& id, const std::string& fields) -> std::string
{
    return put(
        "server",
        R"("id":")" + id + R"(","host":"h-)" + id +
            R"(","data_centre":"vienna-1","region":"vienna",)" + fields);
}

auto put_organisation(const std::string& id, const std::string& fields) -> std::string
{
    return put(
        "organisation",
        R"("id":")" + id + R"(","key_hashes":[")" + inventory::sha256_hex(id) +
            R"("],"models":["m"],)" + fields);
}

} // namespace

auto record_text(const std::string& id, std::uint64_t base, const std::string& changes)
    -> std::string
{
    return R"({"id":")" + id + R"(","author":"anna","at":1,"base":)" + std::to_string(base) +
           R"(,"changes":[)" + changes + "]}";
}

auto put_price(const std::string& version, int price) -> std::string
{
    return put(
        "version",
        R"("id":")" + version + R"(","model":"m","prompt_price":)" + std::to_string(price) +
            R"(,"completion_price":)" + std::to_string(price));
}

auto initial_record() -> std::string
{
    constexpr auto high_price = 9'000'000;
    constexpr auto low_price = 1'000'000;
    constexpr auto middle_price = 5'000'000;
    const std::string versions = R"("kind":"engine","versions":["v1","v2","v3"])";
    return record_text(
        "first",
        0,
        put("model", R"("id":"m")") + "," + put_price("v1", high_price) + "," +
            put_price("v2", low_price) + "," + put_price("v3", middle_price) + "," +
            put_server("a1", versions) + "," + put_server("a2", versions) + "," +
            put("service", R"("name":"notes","idempotent_methods":["GET"])") + "," +
            put_server("a3", R"("kind":"service","service":"notes")") + "," +
            put_organisation("one", R"("services":["notes"])") + "," +
            put_organisation("two", R"("versions":["v1"])"));
}

} // namespace reedramp::whole_path
