#include "platform/LineCodec.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** Joins the lines read from input in pieces; the lines must not depend on how the network splits the bytes. */
std::string joinLines(const std::string& bytes, std::size_t pieceSize)
{
    LineBuffer lines;
    std::string joined;
    for (std::size_t at = 0; at < bytes.size(); at += pieceSize) {
        lines.append(std::string_view(bytes).substr(at, pieceSize));
        while (const auto line = lines.next()) {
            joined += *line;
            joined += '|';
        }
    }
    return joined;
}

void decodeCaller(std::string_view line)
{
    const CallerMessage message = decodeCallerLine(line);
    const auto* statement = std::get_if<Statement>(&message);
    // The proxy must forward the caller's text unchanged.
    if (statement && line.find(statement->text) == std::string_view::npos)
        std::abort();
}

void decodeEndpoint(ReplyAssembler& assembler, std::string_view line)
{
    if (assembler.feed(line) != ReplyAssembler::Step::Complete)
        return;
    const Reply reply = assembler.take();
    for (const std::string& row : reply.rows)
        (void)decodeStatusRow(row);
    (void)encodeReply(reply);
}

} // namespace

/** libFuzzer target of the line protocols of callers and endpoints. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    if (joinLines(bytes, 1) != joinLines(bytes, 7) || joinLines(bytes, 7) != joinLines(bytes, size + 1))
        std::abort();
    LineBuffer lines;
    lines.append(bytes);
    ReplyAssembler assembler;
    while (const auto line = lines.next()) {
        decodeCaller(*line);
        decodeEndpoint(assembler, *line);
    }
    return 0;
}
