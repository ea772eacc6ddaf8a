#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <map>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace almondlever {

/** Line and column of a value, both starting at 1; 0 when unknown. */
struct SourceLocation {
    int line = 0;
    int column = 0;
};

/** A value with its source location. Not valid when absent or malformed; the finding has then been reported. */
template <typename Value> struct Located {
    Value value {};
    SourceLocation location;
    bool isValid = false;
};

/** Collects the findings of one file. */
class FindingSink {
public:
    FindingSink(std::string file, Findings& findings)
        : file_(std::move(file))
        , findings_(findings)
    {
    }

    void report(const SourceLocation&, std::string problem, std::string advice);
    const std::string& file() const { return file_; }

private:
    std::string file_;
    Findings& findings_;
};

SourceLocation locationOf(const YAML::Node&);

/** Inclusive range of accepted counts or sizes. */
struct Bounds {
    std::size_t minimum = 0;
    std::size_t maximum = 0;
};

/**
 * Reads the values of one YAML map by key and reports unknown, duplicate, missing and malformed ones. A key for which a
 * likely misspelling has been reported is not reported as missing too.
 */
class YamlMapReader {
public:
    /** subject: name of the map in findings, for example "endpoint". */
    YamlMapReader(const YAML::Node&, std::string subject, std::vector<std::string> knownKeys, FindingSink&);

    SourceLocation location() const { return location_; }
    /** True when the node is a map; otherwise that has been reported and every value is invalid. */
    bool isMap() const { return isMap_; }

    /** A name of letters, digits, '-', '_' and '.'. */
    Located<std::string> name(const std::string& key);
    /** A non-empty string that the calling code validates. */
    Located<std::string> text(const std::string& key);
    Located<std::size_t> count(const std::string& key, Bounds);
    Located<std::size_t> byteSize(const std::string& key, Bounds);
    Located<Milliseconds> duration(const std::string& key, Milliseconds minimum);
    /** Per cent, 0 to 100. */
    Located<double> percentage(const std::string& key);
    Located<bool> boolean(const std::string& key);
    /** The elements of a non-empty list. */
    Located<std::vector<YAML::Node>> list(const std::string& key);
    Located<std::vector<Located<std::string>>> nameList(const std::string& key);

private:
    void readKeys(const YAML::Node&);
    void reportUnknownKey(const YAML::Node& key);
    const YAML::Node* find(const std::string& key);
    void reportWrongType(const std::string& key, const YAML::Node&, const std::string& advice);
    Located<std::string> checkName(const YAML::Node&, const std::string& key);

    std::string subject_;
    std::vector<std::string> knownKeys_;
    FindingSink& sink_;
    SourceLocation location_;
    bool isMap_ = false;
    std::map<std::string, YAML::Node> values_;
    std::vector<std::string> misspelledKeys_;
};

/** Parses one document. Reports text that is not valid YAML, empty, too long or contains several documents. */
Located<YAML::Node> parseYaml(const std::string& text, FindingSink&);

} // namespace almondlever
