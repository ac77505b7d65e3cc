#include "arrivals.hpp"

#include <algorithm>
#include <iterator>

#include <boost/json.hpp>

namespace reedramp::load {

namespace {

template <typename Item>
auto weights_of(const std::vector<Item>& items) -> std::discrete_distribution<std::size_t>
{
    std::vector<double> weights;
    weights.reserve(items.size());
    for (const auto& item : items) {
        weights.push_back(item.weight);
    }
    return {weights.begin(), weights.end()};
}

auto message(std::string_view role, std::string_view content) -> boost::json::object
{
    return {
        {"role", boost::json::string_view(role.data(), role.size())},
        {"content", boost::json::string_view(content.data(), content.size())},
    };
}

auto append_words(std::string& to, std::uint32_t count) -> void
{
    for (std::uint32_t index = 0; index < count; ++index) {
        to += " word" + std::to_string(index);
    }
}

} // namespace

arrivals::arrivals(const load_settings& given)
    : generator(given.seed), gap_seconds(given.rate_per_second), mix(weights_of(given.mix)),
      organisation(weights_of(given.organisations))
{
}

auto arrivals::next() -> arrival
{
    this->at += std::chrono::duration<double>(this->gap_seconds(this->generator));
    arrival made;
    made.number = this->number++;
    made.mix = this->mix(this->generator);
    made.organisation = this->organisation(this->generator);
    made.at = std::chrono::duration_cast<common::duration>(this->at);
    return made;
}

auto chat_prompt::hashed_text() const -> std::string
{
    std::string text;
    if (!this->system.empty()) {
        text += this->system + "\n";
    }
    for (const auto& caller : this->callers) {
        text += caller + "\n";
    }
    return text;
}

auto make_message(const mix_settings& kind, std::uint64_t seed, message_number number)
    -> std::string
{
    auto text = "[" + kind.task + "] request " + std::to_string(seed) + "-" +
                std::to_string(number.arrival) + "." + std::to_string(number.turn);
    append_words(text, kind.prompt_words);
    return text + " tokens=" + std::to_string(kind.tokens);
}

auto make_system_message(const mix_settings& kind) -> std::string
{
    if (kind.prefix_words == 0) {
        return {};
    }
    auto text = "prefix of " + kind.name;
    append_words(text, kind.prefix_words);
    return text;
}

auto make_chat_body(const mix_settings& kind, const chat_prompt& prompt) -> std::string
{
    boost::json::array messages;
    if (!prompt.system.empty()) {
        messages.emplace_back(message("system", prompt.system));
    }
    for (std::size_t index = 0; index < prompt.callers.size(); ++index) {
        messages.emplace_back(message("user", prompt.callers[index]));
        if (index < prompt.assistants.size()) {
            messages.emplace_back(message("assistant", prompt.assistants[index]));
        }
    }
    boost::json::object body{
        {"model", kind.model},
        {"messages", std::move(messages)},
        {"max_tokens", kind.tokens},
    };
    if (kind.stream) {
        body["stream"] = true;
        body["stream_options"] = boost::json::object{{"include_usage", true}};
    }
    return boost::json::serialize(body);
}

} // namespace reedramp::load
