#include "arrival_generator.hpp"

#include <algorithm>
#include <iterator>

#include <boost/json.hpp>

namespace reedramp::load {

namespace {

template <typename Item>
auto make_distribution(const std::vector<Item>& items) -> std::discrete_distribution<std::size_t>
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

arrival_generator::arrival_generator(const load_settings& run_settings)
    : generator(run_settings.seed), gap_seconds(run_settings.rate_per_second),
      mix(make_distribution(run_settings.mix)),
      organisation(make_distribution(run_settings.organisations))
{
}

auto arrival_generator::next() -> arrival
{
    this->at += std::chrono::duration<double>(this->gap_seconds(this->generator));
    arrival result;
    result.number = this->number++;
    result.mix = this->mix(this->generator);
    result.organisation = this->organisation(this->generator);
    result.at = std::chrono::duration_cast<common::duration>(this->at);
    return result;
}

auto chat_prompt::text_to_hash() const -> std::string
{
    std::string text;
    if (!this->system_message.empty()) {
        text += this->system_message + "\n";
    }
    for (const auto& message : this->user_messages) {
        text += message + "\n";
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
    if (!prompt.system_message.empty()) {
        messages.emplace_back(message("system", prompt.system_message));
    }
    for (std::size_t index = 0; index < prompt.user_messages.size(); ++index) {
        messages.emplace_back(message("user", prompt.user_messages[index]));
        if (index < prompt.assistant_messages.size()) {
            messages.emplace_back(message("assistant", prompt.assistant_messages[index]));
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
