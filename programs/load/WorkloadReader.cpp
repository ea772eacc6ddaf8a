#include "Workload.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <yaml-cpp/yaml.h>

namespace almondlever::load {

namespace {

    /** Reads a number and the unit that follows it; false when the text does not begin with a number. */
    bool splitNumber(const std::string& text, double& number, std::string& unit)
    {
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        unit.assign(parsed.ptr, text.data() + text.size());
        return parsed.ec == std::errc();
    }

    /** Turns a plain YAML value into JSON: numbers and true or false keep their type unless quoted. */
    nlohmann::json toJson(const YAML::Node& node)
    {
        if (node.IsSequence()) {
            nlohmann::json list = nlohmann::json::array();
            for (const YAML::Node& child : node)
                list.push_back(toJson(child));
            return list;
        }
        const auto text = node.as<std::string>();
        const bool isQuoted = node.Tag() == "!";
        if (!isQuoted && (text == "true" || text == "false"))
            return text == "true";
        double number = 0;
        std::string unit;
        if (!isQuoted && splitNumber(text, number, unit) && unit.empty())
            return number == static_cast<double>(static_cast<std::int64_t>(number))
                ? nlohmann::json(static_cast<std::int64_t>(number))
                : nlohmann::json(number);
        return text;
    }

    /** Reads the nodes of one file and collects the findings. */
    class Reader {
    public:
        explicit Reader(std::string file)
            : file_(std::move(file))
        {
        }

        void read(const YAML::Node& root)
        {
            if (!root.IsMap())
                return report(root, "the file is not a map", "write deployment, callers and phases");
            checkKeys(root,
                { "deployment", "seed", "threads", "client_latency", "capacity", "flood_factor", "settle_time",
                    "read_back_time", "databases", "callers", "phases", "faults" });
            workload_.deployment = text(root, "deployment");
            read(root, "seed", workload_.seed);
            read(root, "threads", workload_.threads);
            if (workload_.threads == 0)
                report(root["threads"], "no thread", "write 1 or more");
            readTime(root, "client_latency", workload_.clientLatency);
            read(root, "capacity", workload_.capacityPerSecond);
            read(root, "flood_factor", workload_.floodFactor);
            readTime(root, "settle_time", workload_.settleTime);
            readTime(root, "read_back_time", workload_.readBackTime);
            read(root, "databases", workload_.databases);
            for (const YAML::Node& node : root["callers"])
                readCaller(node);
            for (const YAML::Node& node : root["phases"])
                readPhase(node);
            for (const YAML::Node& node : root["faults"])
                readFault(node);
            if (workload_.callers.empty() || workload_.phases.empty())
                report(root, "no caller or no phase", "list at least one under callers and one under phases");
        }

        void report(const YAML::Node& node, std::string problem, std::string advice)
        {
            const YAML::Mark mark = node.IsDefined() ? node.Mark() : YAML::Mark();
            findings_.push_back({ file_, mark.line + 1, mark.column + 1, std::move(problem), std::move(advice) });
        }

        Findings takeFindings() { return std::move(findings_); }
        Workload takeWorkload() { return std::move(workload_); }

    private:
        void checkKeys(const YAML::Node& node, const std::set<std::string>& known)
        {
            for (const auto& pair : node) {
                const auto key = pair.first.as<std::string>();
                if (known.count(key) == 0)
                    report(pair.first, "unknown key '" + key + "'", "remove it or correct its spelling");
            }
        }

        template <typename Value> void read(const YAML::Node& node, const char* key, Value& value)
        {
            const YAML::Node child = node[key];
            if (!child)
                return;
            try {
                value = child.as<Value>();
            } catch (const YAML::Exception&) {
                report(child, std::string("'") + key + "' cannot be read", "write a value of the documented kind");
            }
        }

        std::string text(const YAML::Node& node, const char* key)
        {
            std::string value;
            read(node, key, value);
            if (value.empty())
                report(node, std::string("'") + key + "' is missing", std::string("add ") + key);
            return value;
        }

        void readTime(const YAML::Node& node, const char* key, Milliseconds& value)
        {
            const YAML::Node child = node[key];
            if (!child)
                return;
            double number = 0;
            std::string unit;
            const bool isNumber = splitNumber(child.as<std::string>(""), number, unit);
            if (isNumber && number >= 0 && unit == "ms")
                value = Milliseconds(static_cast<std::int64_t>(number));
            else if (isNumber && number >= 0 && unit == "s")
                value = Milliseconds(static_cast<std::int64_t>(number * 1000));
            else
                report(child, std::string("'") + key + "' is not a time", "write a number with ms or s, as in 250ms");
        }

        void readShare(const YAML::Node& node, const char* key, double& value)
        {
            const YAML::Node child = node[key];
            if (!child)
                return;
            double number = 0;
            std::string unit;
            const bool isNumber = splitNumber(child.as<std::string>(""), number, unit);
            if (isNumber && unit == "%" && number >= 0 && number <= 100)
                value = number / 100;
            else
                report(child, std::string("'") + key + "' is not a share", "write 0% to 100%");
        }

        void readCaller(const YAML::Node& node)
        {
            checkKeys(node,
                { "name", "rank", "deadline", "floor", "read_your_writes", "databases", "rate", "reads", "keyed_writes",
                    "transactions", "rolled_back", "abandoned", "roams", "lost_tokens", "shared_keys",
                    "private_keys_per_session", "shared_key_count", "sessions", "maximum_in_flight", "repeats" });
            CallerLoad caller;
            caller.name = text(node, "name");
            caller.rank = text(node, "rank");
            readTime(node, "deadline", caller.deadline);
            readShare(node, "floor", caller.floor);
            read(node, "read_your_writes", caller.readsOwnWrites);
            read(node, "databases", caller.databases);
            if (caller.databases.empty())
                report(node, "the caller has no databases", "list at least one under databases");
            read(node, "rate", caller.rate);
            readShare(node, "reads", caller.reads);
            readShare(node, "keyed_writes", caller.keyedWrites);
            readShare(node, "transactions", caller.transactions);
            readShare(node, "rolled_back", caller.rolledBack);
            readShare(node, "abandoned", caller.abandoned);
            readShare(node, "roams", caller.roams);
            readShare(node, "lost_tokens", caller.lostTokens);
            readShare(node, "shared_keys", caller.sharedKeys);
            read(node, "private_keys_per_session", caller.privateKeysPerSession);
            read(node, "shared_key_count", caller.sharedKeyCount);
            read(node, "sessions", caller.sessions);
            read(node, "maximum_in_flight", caller.maximumInFlight);
            read(node, "repeats", caller.repeats);
            // A transaction writes up to three different private keys.
            if (caller.privateKeysPerSession < 3 || caller.sharedKeyCount < 1)
                report(node, "too few keys", "use at least 3 private_keys_per_session and 1 shared_key_count");
            workload_.callers.push_back(std::move(caller));
        }

        void checkCaller(const YAML::Node& node, const std::string& name)
        {
            if (!workload_.findCaller(name))
                report(node, "unknown caller '" + name + "'", "name one that is listed under callers");
        }

        void readPhase(const YAML::Node& node)
        {
            checkKeys(node, { "name", "duration", "rates", "flood" });
            Phase phase;
            phase.name = text(node, "name");
            readTime(node, "duration", phase.duration);
            if (phase.duration.count() <= 0)
                report(node, "the phase has no duration", "add duration, as in 10s");
            read(node, "rates", phase.rates);
            for (const auto& pair : node["rates"])
                checkCaller(pair.first, pair.first.as<std::string>());
            read(node, "flood", phase.floods);
            for (const YAML::Node& name : node["flood"])
                checkCaller(name, name.as<std::string>());
            if (!phase.floods.empty() && workload_.capacityPerSecond <= 0)
                report(node, "a flood needs the capacity", "add capacity, the statements/s of all slots, to the file");
            workload_.phases.push_back(std::move(phase));
        }

        void readFault(const YAML::Node& node)
        {
            if (!node.IsMap())
                return report(node, "a fault is not a map", "write at with action, or at with signal and process");
            Fault fault;
            if (!node["at"])
                report(node, "the fault has no time", "add at, as in 10s");
            readTime(node, "at", fault.at);
            read(node, "measures", fault.database);
            if (node["signal"]) {
                checkKeys(node, { "at", "signal", "process", "measures" });
                fault.signal = text(node, "signal");
                fault.process = text(node, "process");
                const std::set<std::string> known { "SIGKILL", "SIGSTOP", "SIGCONT", "SIGTERM" };
                if (known.count(fault.signal) == 0)
                    report(node["signal"], "unknown signal '" + fault.signal + "'",
                        "write SIGKILL, SIGSTOP, SIGCONT or SIGTERM");
            } else {
                text(node, "action");
                nlohmann::json action = nlohmann::json::object();
                for (const auto& pair : node) {
                    const auto key = pair.first.as<std::string>();
                    if (key != "at" && key != "measures")
                        action[key] = toJson(pair.second);
                }
                fault.actionJson = action.dump();
            }
            workload_.faults.push_back(std::move(fault));
        }

        std::string file_;
        Findings findings_;
        Workload workload_;
    };

} // namespace

Result<Workload, Findings> parseWorkload(const std::string& text, const std::string& file)
{
    Reader reader(file);
    try {
        reader.read(YAML::Load(text));
    } catch (const YAML::Exception& error) {
        return Findings { { file, error.mark.line + 1, error.mark.column + 1, error.msg, "correct the syntax" } };
    }
    Findings findings = reader.takeFindings();
    if (!findings.empty())
        return findings;
    return reader.takeWorkload();
}

Result<Workload, Findings> loadWorkload(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Findings { { path, 0, 0, "the file cannot be read", "name a workload in YAML" } };
    return parseWorkload(std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>()), path);
}

} // namespace almondlever::load
