#include "almondlever/daemon/DaemonSettings.h"

#include "AlmondleverVersion.h"

#include <charconv>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <tclap/CmdLine.h>

namespace almondlever {

namespace {

    constexpr std::size_t minimumClusterKeyBytes = 16;

    /** A setting: its flag, which also gives the name of its environment variable, and its parser. */
    struct Setting {
        std::string flag;
        std::string description;
        std::string defaultText;
        /** Parses the text into the settings; returns advice on the valid values if it is invalid, otherwise "". */
        std::function<std::string(const std::string&, DaemonSettings&)> apply;
    };

    std::string environmentName(const std::string& flag)
    {
        std::string name = "ALMONDLEVER_";
        for (const char c : flag)
            name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    std::string parseNumber(
        const std::string& text, double minimum, double maximum, const std::function<void(double)>& assign)
    {
        double number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
        if (!isNumber || number < minimum || number > maximum)
            return "give a number from " + std::to_string(static_cast<long long>(minimum)) + " to "
                + std::to_string(static_cast<long long>(maximum));
        assign(number);
        return {};
    }

    std::string parseMilliseconds(const std::string& text, Milliseconds& target)
    {
        return parseNumber(
            text, 0, 3600000, [&](double number) { target = Milliseconds(static_cast<std::int64_t>(number)); });
    }

    std::string parseAddress(const std::string& text, HttpAddress& target)
    {
        const auto address = parseHttpAddress(text);
        if (!address)
            return address.error();
        target = address.value();
        return {};
    }

    std::string parseListenAddress(const std::string& text, DaemonSettings& settings)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos || colon == 0)
            return "write ip:port; port 0 picks a free one";
        settings.listenHost = text.substr(0, colon);
        return parseNumber(text.substr(colon + 1), 0, 65535,
            [&](double port) { settings.listenPort = static_cast<std::uint16_t>(port); });
    }

    std::string parseText(const std::string& text, std::string& target)
    {
        target = text;
        return {};
    }

    std::string parseSeeds(const std::string& text, std::vector<LiveDaemon>& target)
    {
        std::size_t begin = 0;
        while (begin < text.size()) {
            const std::size_t end = std::min(text.find(',', begin), text.size());
            const std::string entry = text.substr(begin, end - begin);
            const auto at = entry.find('@');
            if (at == std::string::npos || at == 0 || !parseHttpAddress(entry.substr(at + 1)))
                return "'" + entry + "' is not vm-id@ip:port; separate daemons by commas";
            target.push_back({ VmId(entry.substr(0, at)), FailureDomainId(), entry.substr(at + 1), false });
            begin = end + 1;
        }
        return {};
    }

    std::vector<Setting> allSettings()
    {
        return {
            { "vm-id", "id of this VM; never used again after the VM is removed", "",
                [](const std::string& text, DaemonSettings& s) {
                    s.vm = VmId(text);
                    return text.empty() ? std::string("give the id of this VM") : std::string();
                } },
            { "failure-domain", "failure domain of this VM, as named in the inventory", "",
                [](const std::string& text, DaemonSettings& s) {
                    s.failureDomain = FailureDomainId(text);
                    return text.empty() ? std::string("give the failure domain of this VM") : std::string();
                } },
            { "listen", "ip:port for callers; port 0 picks a free one", "127.0.0.1:8080", parseListenAddress },
            { "peer-listen", "ip:port for other daemons", "",
                [](const std::string& text, DaemonSettings& s) {
                    s.peerListen = text;
                    const auto address = parseHttpAddress(text);
                    return address ? std::string() : address.error();
                } },
            { "peer-advertise", "ip:port told to other daemons; the value of peer-listen when empty", "",
                [](const std::string& text, DaemonSettings& s) {
                    s.peerAdvertise = text;
                    const bool isRight = text.empty() || parseHttpAddress(text).hasValue();
                    return isRight ? std::string() : std::string("write ip:port");
                } },
            { "kv-address", "ip:port of the platform's key-value service", "",
                [](const std::string& text, DaemonSettings& s) { return parseAddress(text, s.keyValueAddress); } },
            { "vm-list-address", "ip:port of the platform's VM list", "",
                [](const std::string& text, DaemonSettings& s) { return parseAddress(text, s.vmListAddress); } },
            { "seeds", "other daemons as vm-id@ip:port, separated by commas, to start during an outage of the platform",
                "", [](const std::string& text, DaemonSettings& s) { return parseSeeds(text, s.seeds); } },
            { "log-level", "debug, info, warn or error", "info",
                [](const std::string& text, DaemonSettings& s) { return parseText(text, s.log.level); } },
            { "log-file", "file for the log; standard output when empty", "",
                [](const std::string& text, DaemonSettings& s) { return parseText(text, s.log.file); } },
            { "decision-lines-per-second", "bound of decision log lines for ranks below the most urgent", "500",
                [](const std::string& text, DaemonSettings& s) {
                    return parseNumber(text, 0, 1000000, [&](double number) { s.decisionLinesPerSecond = number; });
                } },
            { "max-connections", "client connections accepted at the same time", "20000",
                [](const std::string& text, DaemonSettings& s) {
                    return parseNumber(text, 1, 1000000,
                        [&](double number) { s.maximumConnections = static_cast<std::size_t>(number); });
                } },
            { "client-read-timeout-ms",
                "milliseconds after which a client that idles or sends half a request is dropped", "60000",
                [](const std::string& text, DaemonSettings& s) {
                    return parseMilliseconds(text, s.clientReadTimeout);
                } },
            { "drain-delay-ms", "milliseconds between readiness going off and handing work over", "1000",
                [](const std::string& text, DaemonSettings& s) { return parseMilliseconds(text, s.drainDelay); } },
            { "drain-limit-ms", "longest time in milliseconds that a shutdown waits for work in hand", "15000",
                [](const std::string& text, DaemonSettings& s) { return parseMilliseconds(text, s.drainLimit); } },
            { "transaction-idle-limit-ms", "milliseconds after which an idle transaction is rolled back", "5000",
                [](const std::string& text, DaemonSettings& s) {
                    return parseMilliseconds(text, s.transactionIdleLimit);
                } },
        };
    }

    std::string valueOf(const Setting& setting, const TCLAP::ValueArg<std::string>& argument)
    {
        if (argument.isSet())
            return argument.getValue();
        const char* fromEnvironment = std::getenv(environmentName(setting.flag).c_str());
        return fromEnvironment ? fromEnvironment : setting.defaultText;
    }

    void checkClusterKey(DaemonSettingsResult& result)
    {
        const char* key = std::getenv("ALMONDLEVER_CLUSTER_KEY");
        result.settings.clusterKey = key ? key : "";
        if (result.settings.clusterKey.size() < minimumClusterKeyBytes)
            result.findings.push_back(
                { "ALMONDLEVER_CLUSTER_KEY", 0, 0, "the cluster key is missing or shorter than 16 bytes",
                    "set the same secret of at least 16 bytes on every VM of this deployment" });
    }

} // namespace

DaemonSettingsResult readDaemonSettings(int argc, const char* const* argv)
{
    DaemonSettingsResult result;
    const std::vector<Setting> settings = allSettings();
    TCLAP::CmdLine command("Database proxy daemon. Each flag can be given as an environment variable, for example "
                           "ALMONDLEVER_VM_ID for --vm-id; a flag wins. ALMONDLEVER_CLUSTER_KEY holds the cluster key.",
        ' ', buildVersion);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> arguments;
    arguments.reserve(settings.size());
    for (const Setting& setting : settings)
        arguments.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
            "", setting.flag, setting.description, false, setting.defaultText, "value", command));
    try {
        command.parse(argc, argv);
    } catch (const TCLAP::ExitException& end) {
        result.shouldExit = true;
        result.exitStatus = end.getExitStatus();
        return result;
    } catch (const TCLAP::ArgException& error) {
        result.findings.push_back({ error.argId(), 0, 0, error.error(), "see --help" });
        return result;
    }
    for (std::size_t i = 0; i < settings.size(); ++i) {
        const std::string text = valueOf(settings[i], *arguments[i]);
        const std::string advice = settings[i].apply(text, result.settings);
        if (!advice.empty())
            result.findings.push_back({ "--" + settings[i].flag + " / " + environmentName(settings[i].flag), 0, 0,
                "the value '" + text + "' cannot be used", advice });
    }
    if (result.settings.peerAdvertise.empty())
        result.settings.peerAdvertise = result.settings.peerListen;
    checkClusterKey(result);
    return result;
}

} // namespace almondlever
