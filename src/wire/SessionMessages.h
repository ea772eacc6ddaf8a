#pragma once

#include "CborWriter.h"
#include "almondlever/wire/Messages.h"

#include <type_traits>

namespace almondlever {

/** True for the messages that forward session statements, which are encoded in SessionMessages.cpp. */
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
