#pragma once

#include "MapWriter.h"
#include "almondlever/wire/Messages.h"

#include <type_traits>

namespace almondlever {

/** Messages about the statements of sessions, which have a source of their own. */
template <typename Type>
inline constexpr bool isSessionMessage
    = std::is_same_v<Type,
          SessionStatement> || std::is_same_v<Type, SessionAnswer> || std::is_same_v<Type, SessionTransactionEnd> || std::is_same_v<Type, SessionAbandon>;

void writeSessionMessage(nlohmann::json& map, const SessionStatement&);
void writeSessionMessage(nlohmann::json& map, const SessionAnswer&);
void writeSessionMessage(nlohmann::json& map, const SessionTransactionEnd&);
void writeSessionMessage(nlohmann::json& map, const SessionAbandon&);

SessionStatement readSessionStatement(CborReader&);
SessionAnswer readSessionAnswer(CborReader&);
SessionTransactionEnd readSessionTransactionEnd(CborReader&);
SessionAbandon readSessionAbandon(CborReader&);

} // namespace almondlever
