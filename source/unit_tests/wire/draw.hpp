#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <rapidcheck.h>

#include "wire/codec.hpp"

/// Draws messages with any value in each field, for property tests.
///
/// The structured bindings name all fields of a message: a field that is added to a message, and
/// not here and to the codec, does not compile.
namespace reedramp::wire::testing {

inline constexpr common::time_point draw_now{std::chrono::hours{7}};

// One class, so that all overloads know each other in whatever order they stand.
struct draw {
    template <typename Message>
    static auto any() -> Message
    {
        Message message;
        one(message);
        return message;
    }

    template <typename... Fields>
    static auto all(Fields&... fields) -> void
    {
        (one(fields), ...);
    }

    template <typename Value>
    static auto one(Value& x) -> std::enable_if_t<std::is_integral_v<Value>>
    {
        x = *rc::gen::arbitrary<Value>();
    }

    static auto one(double& x) -> void
    {
        x = *rc::gen::suchThat<double>([](double value) { return std::isfinite(value); });
    }

    static auto one(std::string& x) -> void { x = *rc::gen::arbitrary<std::string>(); }

    static auto one(common::duration& x) -> void
    {
        x = common::duration{*rc::gen::inRange<std::int64_t>(0, longest_time.count())};
    }

    template <typename Tag, typename Value>
    static auto one(common::strong<Tag, Value>& x) -> void
    {
        x = common::strong<Tag, Value>{any<Value>()};
    }

    template <typename Value>
    static auto one(std::optional<Value>& x) -> void
    {
        if (any<bool>()) {
            x = any<Value>();
        }
    }

    template <typename Value>
    static auto one(std::vector<Value>& x) -> void
    {
        x.resize(*rc::gen::inRange<std::size_t>(0, 5));
        for (auto& item : x) {
            one(item);
        }
    }

    template <typename Enum>
    static auto choice(Enum& x, Enum last) -> void
    {
        x = static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
    }

    static auto one(common::request_id& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(common::error& x) -> void
    {
        auto& [code, run, detail, retry_at] = x;
        const auto rows = common::result_table();
        code = rows[*rc::gen::inRange<std::size_t>(0, rows.size())].code;
        choice(run, common::execution::unknown);
        one(detail);
        if (any<bool>()) {
            retry_at = draw_now + any<common::duration>();
        }
    }

    static auto one(messages::run_key& x) -> void
    {
        auto& [a, b, c] = x;
        all(a, b, c);
    }

    static auto one(messages::run_request& x) -> void
    {
        auto& [a, kind, repeat, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q, r] = x;
        choice(kind, messages::work_kind::service);
        choice(repeat, messages::repeat_rule::at_most_once);
        all(a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q, r);
    }

    static auto one(messages::usage& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::tokens_event& x) -> void
    {
        auto& [a, b, c] = x;
        all(a, b, c);
    }

    static auto one(messages::finished_event& x) -> void
    {
        auto& [a, b, c, d, e] = x;
        all(a, b, c, d, e);
    }

    static auto one(messages::refused_event& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::failed_event& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::outcome_query& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::outcome_answer& x) -> void
    {
        auto& [state, a, b, c] = x;
        choice(state, messages::outcome_state::failed);
        all(a, b, c);
    }

    static auto one(messages::probe_request& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::probe_answer& x) -> void
    {
        auto& [a, b, c, d, e, f, g, h, i] = x;
        all(a, b, c, d, e, f, g, h, i);
    }

    static auto one(messages::log_record& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::withdrawal& x) -> void
    {
        auto& [a, b, c] = x;
        all(a, b, c);
    }

    static auto one(messages::configuration_pull& x) -> void
    {
        auto& [a, b] = x;
        all(a, b);
    }

    static auto one(messages::configuration_push& x) -> void
    {
        auto& [a, b, c, d, e] = x;
        all(a, b, c, d, e);
    }

    static auto one(messages::claim_request& x) -> void
    {
        auto& [a, b, c, d, e, f, g, h, i] = x;
        all(a, b, c, d, e, f, g, h, i);
    }

    static auto one(messages::claim_answer& x) -> void
    {
        auto& [state, a, b, c] = x;
        choice(state, messages::claim_state::refused);
        all(a, b, c);
    }

    static auto one(messages::bill_line& x) -> void
    {
        auto& [a, b, c, d] = x;
        all(a, b, c, d);
    }

    static auto one(messages::bill& x) -> void
    {
        auto& [a, b, c, d, e] = x;
        all(a, b, c, d, e);
    }

    static auto one(messages::bill_handover& x) -> void
    {
        auto& [a] = x;
        all(a);
    }

    static auto one(messages::version_evidence& x) -> void
    {
        auto& [a, b, c, d, e, f, g] = x;
        all(a, b, c, d, e, f, g);
    }

    static auto one(messages::limit_demand& x) -> void
    {
        auto& [a, scope, b, c, d, e, f, g, h] = x;
        choice(scope, messages::demand_scope::fleet);
        all(a, b, c, d, e, f, g, h);
    }

    static auto one(messages::gossip& x) -> void
    {
        auto& [a, b, c, d, e] = x;
        all(a, b, c, d, e);
    }
};

} // namespace reedramp::wire::testing
