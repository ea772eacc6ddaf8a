#pragma once

#include <string>

namespace almondlever {

/** Writes bytes that would end a word, and the percent sign, as a percent sign and two hexadecimal digits. */
std::string toWord(const std::string& text);

/** The reverse of toWord(). A percent sign without two digits stands for itself, as earlier versions wrote it. */
std::string fromWord(const std::string& word);

} // namespace almondlever
