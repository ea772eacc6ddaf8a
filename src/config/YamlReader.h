#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <map>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace almondlever {

/** Line and column of a value, both counted from 1; 0 when unknown. */
struct Place {
    int line = 0;
    int column = 0;
};

/** A value with its place. Not valid when it is absent or malformed, which has then been reported. */
template <typename Value> struct Placed {
    Value value {};
    Place place;
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

    void report(const Place&, std::string problem, std::string advice);
    const std::string& file() const { return file_; }

private:
    std::string file_;
    Findings& findings_;
};

Place placeOf(const YAML::Node&);

/** Least and greatest accepted count or size. */
struct Bounds {
    std::size_t least = 0;
    std::size_t greatest = 0;
};

/**
 * Reads the values of one YAML map by key and reports unknown, repeated, missing and malformed ones. A key that is
 * reported as a likely misspelling of another is not reported as missing as well.
 */
class YamlMapReader {
public:
    /** The subject names the map in findings, for example "endpoint". */
    YamlMapReader(const YAML::Node&, std::string subject, std::vector<std::string> knownKeys, FindingSink&);

    Place place() const { return place_; }
    /** True when the node is a map; otherwise that has been reported and every value is invalid. */
    bool isMap() const { return isMap_; }

    /** A name of letters, digits, '-', '_' and '.'. */
    Placed<std::string> name(const std::string& key);
    /** A plain text that the caller checks. */
    Placed<std::string> text(const std::string& key);
    Placed<std::size_t> count(const std::string& key, Bounds);
    Placed<std::size_t> byteSize(const std::string& key, Bounds);
    Placed<Milliseconds> duration(const std::string& key, Milliseconds least);
    /** Per cent, 0 to 100. */
    Placed<double> percentage(const std::string& key);
    Placed<bool> boolean(const std::string& key);
    /** The elements of a list that must have at least one. */
    Placed<std::vector<YAML::Node>> list(const std::string& key);
    Placed<std::vector<Placed<std::string>>> nameList(const std::string& key);

private:
    void readKeys(const YAML::Node&);
    void reportUnknownKey(const YAML::Node& key);
    const YAML::Node* find(const std::string& key);
    void reportWrongType(const std::string& key, const YAML::Node&, const std::string& advice);
    Placed<std::string> checkName(const YAML::Node&, const std::string& key);

    std::string subject_;
    std::vector<std::string> knownKeys_;
    FindingSink& sink_;
    Place place_;
    bool isMap_ = false;
    std::map<std::string, YAML::Node> values_;
    std::vector<std::string> misspelledKeys_;
};

/** Parses one document; invalid, with findings, when the text is no YAML, empty, too long or several documents. */
Placed<YAML::Node> parseYaml(const std::string& text, FindingSink&);

} // namespace almondlever
