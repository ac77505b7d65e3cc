#include "http/client.hpp"

#include <map>
#include <utility>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "http/client_link.hpp"

namespace reedramp::http {

namespace asio = boost::asio;

namespace {

/// The idle links of a client, on its context's thread.
class idle_links final : public link_owner {
public:
    idle_links(std::size_t limit_per_endpoint, client_hooks hooks_to_use)
        : limit(limit_per_endpoint), hooks(std::move(hooks_to_use))
    {
    }

    auto keep_idle(const std::shared_ptr<client_link>& link) -> void override
    {
        auto& kept = this->by_endpoint[link->where()];
        kept.push_back(link);
        if (kept.size() > this->limit) {
            const auto oldest = kept.front();
            oldest->drop();
        }
    }

    auto forget_idle(const client_link& link) -> void override
    {
        const auto found = this->by_endpoint.find(link.where());
        if (found == this->by_endpoint.end()) {
            return;
        }
        std::erase_if(found->second, [&link](const auto& kept) { return kept.get() == &link; });
        if (found->second.empty()) {
            this->by_endpoint.erase(found);
        }
    }

    auto note_unrequested_bytes(const client_link& link) -> void override
    {
        if (this->hooks.on_unrequested_bytes) {
            this->hooks.on_unrequested_bytes(link.where());
        }
    }

    /// The most recently used one that is still open, which leaves the others to their timeout.
    auto take(const endpoint& where) -> std::shared_ptr<client_link>
    {
        auto found = this->by_endpoint.find(where);
        while (found != this->by_endpoint.end()) {
            auto link = found->second.back();
            if (link->is_usable()) {
                found->second.pop_back();
                // An empty list must not stay: the next call would take the last of no links.
                if (found->second.empty()) {
                    this->by_endpoint.erase(found);
                }
                return link;
            }
            link->drop();
            found = this->by_endpoint.find(where);
        }
        return nullptr;
    }

    auto close_all() -> void
    {
        const auto all = std::exchange(this->by_endpoint, {});
        for (const auto& [where, links] : all) {
            for (const auto& link : links) {
                link->drop();
            }
        }
    }

private:
    std::size_t limit;
    client_hooks hooks;
    std::map<endpoint, std::vector<std::shared_ptr<client_link>>> by_endpoint;
};

class call_handle final : public call {
public:
    call_handle(asio::io_context& context_of_client, std::shared_ptr<pending_call> call_under_way)
        : context(context_of_client), target(std::move(call_under_way))
    {
    }

    auto cancel() -> void override
    {
        asio::dispatch(this->context, [&context = this->context, target = this->target] {
            if (target->finished) {
                return;
            }
            auto error = common::make_error(common::result_code::cancelled);
            error.run =
                target->maybe_sent ? common::execution::unknown : common::execution::not_run;
            const auto link = target->link.lock();
            finish_call(context, *target, tl::unexpected(std::move(error)));
            if (link != nullptr) {
                link->drop();
            }
        });
    }

    auto pause() -> void override
    {
        asio::dispatch(this->context, [target = this->target] { target->paused = true; });
    }

    auto resume() -> void override
    {
        asio::dispatch(this->context, [target = this->target] {
            target->paused = false;
            if (const auto link = target->link.lock()) {
                link->resume();
            }
        });
    }

private:
    asio::io_context& context;
    std::shared_ptr<pending_call> target;
};

class pooled_client final : public client {
public:
    pooled_client(
        asio::io_context& context_to_use, client_options options_to_use, client_hooks hooks)
        : context(context_to_use), options(options_to_use),
          links(std::make_shared<idle_links>(options_to_use.idle_connections, std::move(hooks)))
    {
    }

    ~pooled_client() override
    {
        // A stopped context runs nothing more; a handler left in it would only be destroyed with
        // the context, after the services that its sockets need.
        if (this->context.stopped()) {
            this->links->close_all();
            return;
        }
        asio::post(this->context, [links = this->links] { links->close_all(); });
    }

    pooled_client(const pooled_client&) = delete;
    pooled_client(pooled_client&&) = delete;
    auto operator=(const pooled_client&) -> pooled_client& = delete;
    auto operator=(pooled_client&&) -> pooled_client& = delete;

    auto send(const endpoint& where, request asked, call_events events)
        -> std::shared_ptr<call> override
    {
        auto under_way = std::make_shared<pending_call>();
        under_way->where = where;
        under_way->asked = std::move(asked);
        under_way->events = std::move(events);
        asio::dispatch(
            this->context,
            [&context = this->context, options = this->options, links = this->links, under_way] {
                start(context, options, links, under_way);
            });
        return std::make_shared<call_handle>(this->context, std::move(under_way));
    }

private:
    static auto start(
        asio::io_context& context,
        const client_options& options,
        const std::shared_ptr<idle_links>& links,
        const std::shared_ptr<pending_call>& under_way) -> void
    {
        if (under_way->finished) {
            return;
        }
        if (const auto kept = links->take(under_way->where)) {
            kept->reuse(under_way);
            return;
        }
        const auto fresh = std::make_shared<client_link>(context, options, links);
        fresh->open(under_way);
    }

    asio::io_context& context;
    client_options options;
    std::shared_ptr<idle_links> links;
};

} // namespace

auto client::create(asio::io_context& context, client_options options, client_hooks hooks)
    -> std::shared_ptr<client>
{
    return std::make_shared<pooled_client>(context, options, std::move(hooks));
}

} // namespace reedramp::http
