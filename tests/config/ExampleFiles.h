#pragma once

#include "almondlever/config/ConfigurationLoader.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace almondlever {

inline ConfigurationSource readExampleFile(const std::string& example, const std::string& file)
{
    const std::filesystem::path root = ALMONDLEVER_SOURCE_DIR;
    std::ifstream stream(root / "examples" / example / file);
    return { file, { std::istreambuf_iterator<char>(stream), {} } };
}

inline Result<Configuration, Findings> loadExample(const std::string& example)
{
    return loadConfiguration(readExampleFile(example, "inventory.yaml"), readExampleFile(example, "rules.yaml"));
}

} // namespace almondlever
