#include "agent/registration.hpp"

#include <utility>

#include <boost/json.hpp>

#include "common/log.hpp"

namespace reedramp::agent {

namespace {

constexpr common::duration retry_delay = std::chrono::milliseconds(200);

/// One registration in progress; kept alive by its timers and log callbacks.
class registration_attempt final : public std::enable_shared_from_this<registration_attempt> {
public:
    registration_attempt(
        registration_hooks given,
        std::string text,
        std::function<auto(common::incarnation_id incarnation)->void> when_done)
        : hooks(std::move(given)), data(std::move(text)), done(std::move(when_done))
    {
    }

    auto start(common::time_point deadline) -> void
    {
        this->hooks.timer(deadline, [self = this->shared_from_this()] {
            self->finish(
                common::incarnation_id{self->hooks.random() | random_incarnation_bit},
                "registration timed out; chose a random number");
        });
        this->append();
    }

private:
    auto append() -> void
    {
        auto answered = [self = this->shared_from_this()](auto answer) {
            if (answer) {
                self->finish(common::incarnation_id{answer->value()}, "registered");
                return;
            }
            self->schedule_retry();
        };
        this->hooks.log.append(platform::streams::registrations, this->data, std::move(answered));
    }

    auto schedule_retry() -> void
    {
        this->hooks.timer(this->hooks.now() + retry_delay, [self = this->shared_from_this()] {
            if (!self->is_finished()) {
                self->append();
            }
        });
    }

    auto is_finished() -> bool
    {
        const std::lock_guard guard(this->lock);
        return this->finished;
    }

    auto finish(common::incarnation_id incarnation, const char* why) -> void
    {
        {
            const std::lock_guard guard(this->lock);
            if (this->finished) {
                return;
            }
            this->finished = true;
        }
        common::log(
            common::log_part::agent,
            common::log_level::info,
            std::string(why) + " incarnation=" + std::to_string(incarnation.value()));
        this->done(incarnation);
    }

    const registration_hooks hooks;
    const std::string data;
    const std::function<auto(common::incarnation_id incarnation)->void> done;
    std::mutex lock;
    bool finished = false;
};

} // namespace

auto format_registration(const registration_record& record) -> std::string
{
    return boost::json::serialize(boost::json::object{
        {"server", record.server.value()},
        {"host", record.host.value()},
        {"rpc", record.rpc},
        {"at", record.at.value()}});
}

auto register_agent(
    registration_hooks hooks,
    const registration_record& record,
    common::time_point deadline,
    std::function<auto(common::incarnation_id incarnation)->void> done) -> void
{
    std::make_shared<registration_attempt>(
        std::move(hooks), format_registration(record), std::move(done))
        ->start(deadline);
}

} // namespace reedramp::agent
