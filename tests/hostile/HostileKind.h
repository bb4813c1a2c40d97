#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace hemlockvane::hostile {

/// @brief Ways in which a client ignores the limits of a server.
enum class HostileKind : std::uint8_t {
    EndlessTrailer, ///< One trailer field without end behind a chunked body.
    ManyTrailers, ///< Many short trailer fields behind a chunked body.
    ChunkExtension, ///< One extension without end in the size line of a chunk.
    EndlessHeader, ///< One header field without end.
    AnnouncedBody, ///< A body far beyond the limit, announced by its length.
    SentBody, ///< A body far beyond the limit, in one chunk.
    LargeChunks, ///< A body within the limit in large chunks that stops before its end and stays open.
    SmallChunks, ///< The same in chunks of one byte.
};

inline constexpr std::array<std::pair<std::string_view, HostileKind>, 8> hostileKinds { {
    { "endless-trailer", HostileKind::EndlessTrailer },
    { "many-trailers", HostileKind::ManyTrailers },
    { "chunk-extension", HostileKind::ChunkExtension },
    { "endless-header", HostileKind::EndlessHeader },
    { "announced-body", HostileKind::AnnouncedBody },
    { "sent-body", HostileKind::SentBody },
    { "large-chunks", HostileKind::LargeChunks },
    { "small-chunks", HostileKind::SmallChunks },
} };

} // namespace hemlockvane::hostile
