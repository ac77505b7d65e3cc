#include <boost/beast/http/error.hpp>

#include "http/codec.hpp"

namespace reedramp::http {

namespace beast_http = boost::beast::http;

auto problem_answer(const common::error& found) -> response
{
    const auto& row = common::row_of(found.code);
    const auto code = std::to_string(static_cast<unsigned>(found.code));
    response answer;
    answer.status = row.http_status;
    answer.headers.push_back({"Content-Type", "application/problem+json"});
    // Only texts from the table go in, so that nothing has to be escaped.
    answer.body = R"({"type":"about:blank","title":")" + std::string{row.explanation} +
                  R"(","status":)" + std::to_string(row.http_status) + R"(,"code":)" + code +
                  R"(,"name":")" + std::string{row.name} + R"(","execution":")" +
                  std::string{common::to_string(found.run)} + "\"}\n";
    return answer;
}

auto parse_failure(const error_code& problem) -> common::error
{
    if (problem == beast_http::error::body_limit) {
        return common::make_error(common::result_code::body_too_large, problem.message());
    }
    if (problem == beast_http::error::header_limit) {
        return common::make_error(common::result_code::header_too_large, problem.message());
    }
    return common::make_error(common::result_code::malformed_request, problem.message());
}

} // namespace reedramp::http
