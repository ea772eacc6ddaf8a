#include "ConfigurationCommands.h"

#include "Output.h"
#include "almondlever/config/ConfigurationLoader.h"
#include "almondlever/config/ConfigurationTransition.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace almondlever {

namespace {

    /** Reads a file and adds a finding if that fails. */
    ConfigurationSource readSource(const std::string& directory, const char* name, Findings& findings)
    {
        const std::string path = directory + "/" + name;
        std::ifstream stream(path, std::ios::binary);
        ConfigurationSource source { path, { std::istreambuf_iterator<char>(stream), {} } };
        if (!stream)
            findings.push_back({ path, 0, 0, "the file cannot be read", "name a folder that contains it" });
        return source;
    }

    Result<Configuration, Findings> loadFiles(const std::string& directory)
    {
        Findings findings;
        const ConfigurationSource inventory = readSource(directory, "inventory.yaml", findings);
        const ConfigurationSource rules = readSource(directory, "rules.yaml", findings);
        if (!findings.empty())
            return findings;
        return loadConfiguration(inventory, rules);
    }

    ExitCode reportFindings(const Findings& findings, const Options& options, OutputStreams streams)
    {
        if (options.isJson)
            streams.out << formatJson(toJson(findings)) << '\n';
        else
            printFindings(findings, streams.error);
        return ExitCode::Refused;
    }

    ExitCode reportError(const ConfigurationStoreError& error, OutputStreams streams)
    {
        switch (error.code) {
        case ConfigurationStoreError::Code::Unreachable:
            streams.error << "the key-value service does not answer, nothing changed: " << error.detail << '\n';
            return ExitCode::Unreachable;
        case ConfigurationStoreError::Code::OutcomeUnknown:
            streams.error << "it is unknown whether the apply took effect: " << error.detail
                          << "; run plan to see what is stored\n";
            return ExitCode::OutcomeUnknown;
        case ConfigurationStoreError::Code::Refused:
            streams.error << "the key-value service refused, nothing changed: " << error.detail << '\n';
            return ExitCode::Refused;
        case ConfigurationStoreError::Code::Damaged:
            break;
        }
        streams.error << "the stored configuration is damaged, nothing changed: " << error.detail << '\n';
        return ExitCode::Refused;
    }

    Configuration configurationOf(const std::optional<StoredConfiguration>& stored)
    {
        return stored ? stored->configuration : Configuration();
    }

    std::string describeStored(const std::optional<StoredConfiguration>& stored)
    {
        return stored ? describe(stored->head.current) : "no configuration is stored yet";
    }

    void printPlan(const std::optional<StoredConfiguration>& stored, const ConfigurationChanges& changes,
        const Options& options, OutputStreams streams)
    {
        if (!options.isJson) {
            streams.out << "stored: " << describeStored(stored) << "\nchanges:\n";
            return printChanges(changes, streams.out);
        }
        const nlohmann::json document { { "stored_version", stored ? stored->head.current.version : 0 },
            { "changes", toJson(changes) } };
        streams.out << formatJson(document) << '\n';
    }

    ExitCode reportConflict(
        const ConfigurationConflict& conflict, const std::optional<StoredConfiguration>& base, OutputStreams streams)
    {
        streams.error << "another apply came first, nothing of this one took effect\n";
        if (!conflict.stored)
            return ExitCode::Conflict;
        streams.error << "stored now: " << describeStored(conflict.stored) << "\nchanged in between:\n";
        printChanges(compareConfigurations(configurationOf(base), conflict.stored->configuration), streams.error);
        streams.error << "update the files and apply again\n";
        return ExitCode::Conflict;
    }

    void reportApplied(const ConfigurationApplied& applied, OutputStreams streams)
    {
        streams.out << "applied as version " << applied.version << '\n';
        if (applied.replacedBy > 0)
            streams.out << "version " << applied.replacedBy << " by another apply has already replaced it\n";
    }

    /** Deletes unused parts of earlier configurations. Remaining parts do no harm, so a failure does not change the
     * exit code. */
    void collectParts(ConfigurationStore& store, OutputStreams streams, const CommandDone& done)
    {
        store.collectGarbage([streams, done](const auto& result) {
            if (!result)
                streams.error << "unused parts of earlier configurations stay in the store until the next apply: "
                              << result.error().detail << '\n';
            done(ExitCode::Success);
        });
    }

} // namespace

ExitCode runValidate(const Options& options, OutputStreams streams)
{
    const auto loaded = loadFiles(options.directory);
    if (!loaded)
        return reportFindings(loaded.error(), options, streams);
    if (options.isJson)
        streams.out << formatJson(toJson(Findings {})) << '\n';
    else
        streams.out << "no findings: " << loaded.value().databases.size() << " databases, "
                    << loaded.value().callers.size() << " callers, " << loaded.value().ranks.size() << " ranks\n";
    return ExitCode::Success;
}

void runPlan(const Options& options, ConfigurationStore& store, OutputStreams streams, const CommandDone& done)
{
    const auto loaded = loadFiles(options.directory);
    if (!loaded)
        return done(reportFindings(loaded.error(), options, streams));
    store.readNewest([options, streams, done, configuration = loaded.value()](const auto& result) {
        if (!result)
            return done(reportError(result.error(), streams));
        const auto& stored = result.value();
        printPlan(stored, compareConfigurations(configurationOf(stored), configuration), options, streams);
        done(ExitCode::Success);
    });
}

void runApply(const Options& options, ConfigurationStore& store, const std::string& applyId, WallTime now,
    OutputStreams streams, const CommandDone& done)
{
    const auto loaded = loadFiles(options.directory);
    if (!loaded)
        return done(reportFindings(loaded.error(), options, streams));
    const ApplyDetails details { applyId, options.author, now };
    store.readNewest([options, &store, details, streams, done, configuration = loaded.value()](const auto& result) {
        if (!result)
            return done(reportError(result.error(), streams));
        const std::optional<StoredConfiguration>& base = result.value();
        const auto changes = compareConfigurations(configurationOf(base), configuration);
        printPlan(base, changes, options, streams);
        if (base && changes.empty())
            return done(ExitCode::Success);
        const Findings unsafe = base ? findUnsafeChanges(base->configuration, configuration) : Findings();
        if (!unsafe.empty())
            return done(reportFindings(unsafe, options, streams));
        store.apply(configuration, base, details, [&store, base, streams, done](const ApplyResult& applied) {
            if (const auto* error = std::get_if<ConfigurationStoreError>(&applied))
                return done(reportError(*error, streams));
            if (const auto* conflict = std::get_if<ConfigurationConflict>(&applied))
                return done(reportConflict(*conflict, base, streams));
            reportApplied(std::get<ConfigurationApplied>(applied), streams);
            collectParts(store, streams, done);
        });
    });
}

} // namespace almondlever
