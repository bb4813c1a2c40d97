#include "hemlockvane/detail/http/PlainResponse.h"

namespace hemlockvane::detail {

auto plainResponse(unsigned status, std::string body) -> HttpResponse
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = std::move(body);
    return response;
}

} // namespace hemlockvane::detail
