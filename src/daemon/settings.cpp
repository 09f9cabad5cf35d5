#include "daemon/settings.h"

#include "daemon/fleet_yaml.h"
#include "daemon/settings_table.h"
#include "daemon/settings_value.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace Tanagertally {

namespace {

constexpr std::string_view EntryMark = "[]";

/** Reads one tree of nodes into Settings and collects what is wrong with it. */
class SettingsReader
{
public:
    explicit SettingsReader(std::string fileName)
        : file(std::move(fileName))
    {
    }

    SettingsResult read(const YAML::Node &root)
    {
        this->readMap(root, "", "");
        this->applyAbsent("", lineOf(root), "");
        if (this->errors.empty()) {
            this->readKeyFile();
            this->checkTogether(root);
        }
        if (this->errors.empty()) {
            return std::move(this->settings);
        }
        std::ranges::stable_sort(this->errors, {}, &LinedError::line);
        std::vector<Error> found;
        for (LinedError &entry : this->errors) {
            entry.error.field = this->file + ":" + std::to_string(entry.line) + ": " + entry.error.field;
            found.push_back(std::move(entry.error));
        }
        return found;
    }

private:
    void fail(int line, const std::string &key, const std::string &expected)
    {
        this->errors.push_back(LinedError{line, makeError(ErrorCode::BadInput, expected, key)});
    }

    static const Setting *findSetting(std::string_view path)
    {
        const auto table = settingsTable();
        const auto found = std::ranges::find(table, path, &Setting::path);
        return found == table.end() ? nullptr : &*found;
    }

    static bool isSection(const std::string &path)
    {
        return std::ranges::any_of(settingsTable(), [&](const Setting &setting) { return setting.path.starts_with(path + "."); });
    }

    /** @return The keys that a map may have, for the error about one that it may not. */
    static std::string keysUnder(const std::string &prefix)
    {
        std::string list;
        std::set<std::string> seen;
        for (const Setting &setting : settingsTable()) {
            if (!setting.path.starts_with(prefix)) {
                continue;
            }
            const std::string_view rest = setting.path.substr(prefix.size());
            const std::string key(rest.substr(0, rest.find_first_of(".[")));
            if (seen.insert(key).second) {
                list += list.empty() ? key : ", " + key;
            }
        }
        return list;
    }

    /**
     * Read a map.
     * @param prefix Table path in front of its keys, such as "teams[].".
     * @param shown The same as errors show it, such as "teams[2].".
     */
    void readMap(const YAML::Node &node, const std::string &prefix, const std::string &shown)
    {
        if (!node.IsMap()) {
            const std::string key = shown.empty() ? "settings" : shown.substr(0, shown.size() - 1);
            this->fail(lineOf(node), key, "expected a map with the keys " + keysUnder(prefix));
            return;
        }
        std::set<std::string> keys;
        for (const auto &entry : node) {
            const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
            if (!keys.insert(name).second) {
                this->fail(lineOf(entry.first), shown + name, "expected each key once");
                continue;
            }
            this->readEntry(entry.first, entry.second, prefix + name, shown + name, prefix);
        }
    }

    void readEntry(const YAML::Node &keyNode, const YAML::Node &value, const std::string &path, const std::string &shown,
                   const std::string &prefix)
    {
        const Setting *setting = findSetting(path);
        if (setting != nullptr) {
            this->present.insert(shown);
            this->readValue(*setting, keyNode, value, shown);
            return;
        }
        if (isSection(path)) {
            this->sectionLines.emplace(shown, lineOf(keyNode));
            this->readMap(value, path + ".", shown + ".");
            return;
        }
        this->fail(lineOf(keyNode), shown, "unknown key; expected one of " + keysUnder(prefix));
    }

    void readValue(const Setting &setting, const YAML::Node &keyNode, const YAML::Node &value, const std::string &shown)
    {
        const int line = lineOf(keyNode);
        switch (setting.type) {
        case SettingType::Entries:
            this->readEntries(setting, line, value, shown);
            return;
        case SettingType::AddressList:
            this->readAddresses(setting, line, value, shown);
            return;
        case SettingType::Document:
            this->readFleet(value, shown);
            return;
        default:
            if (!value.IsScalar() || !this->store(setting, value.Scalar())) {
                this->fail(line, shown, "expected " + expectedValue(setting));
            }
        }
    }

    /** @return Whether the text is what the setting takes; it is stored if so. */
    bool store(const Setting &setting, std::string_view text)
    {
        if (const auto *setNumber = std::get_if<NumberSetter>(&setting.set)) {
            const Result<std::int64_t> number = readNumber(setting, text);
            if (number) {
                (*setNumber)(this->settings, number.value());
            }
            return number.has_value();
        }
        if (!acceptsText(setting, text)) {
            return false;
        }
        std::get<TextSetter>(setting.set)(this->settings, text);
        return true;
    }

    static bool hasCountIn(const SettingRange &range, const YAML::Node &value)
    {
        const auto count = static_cast<std::int64_t>(value.size());
        return value.IsSequence() && count >= range.low && count <= range.high;
    }

    void readEntries(const Setting &setting, int line, const YAML::Node &value, const std::string &shown)
    {
        if (!hasCountIn(setting.range, value)) {
            this->fail(line, shown, "expected " + expectedValue(setting));
            return;
        }
        for (std::size_t index = 0; index < value.size(); ++index) {
            const std::string entry = shown + "[" + std::to_string(index) + "].";
            std::get<EntrySetter>(setting.set)(this->settings);
            this->readMap(value[index], std::string(setting.path) + "[].", entry);
            this->applyAbsent(std::string(setting.path) + "[].", lineOf(value[index]), entry);
        }
    }

    void readAddresses(const Setting &setting, int line, const YAML::Node &value, const std::string &shown)
    {
        if (!hasCountIn(setting.range, value)) {
            this->fail(line, shown, "expected " + expectedValue(setting));
            return;
        }
        for (std::size_t index = 0; index < value.size(); ++index) {
            if (!value[index].IsScalar() || !this->store(setting, value[index].Scalar())) {
                this->fail(lineOf(value[index]), shown + "[" + std::to_string(index) + "]",
                           "expected an address IP:port with a numeric IP and a port from 1 to 65535");
            }
        }
    }

    void readFleet(const YAML::Node &value, const std::string &shown)
    {
        FleetYamlResult fleet = fleetConfigFromYaml(value, shown);
        if (fleet) {
            this->settings.fleet = std::move(fleet.value());
            return;
        }
        for (LinedError &error : fleet.error()) {
            this->errors.push_back(std::move(error));
        }
    }

    /** Set defaults of, or report, the settings of a map that are not there. */
    void applyAbsent(const std::string &prefix, int line, const std::string &shownPrefix)
    {
        for (const Setting &setting : settingsTable()) {
            if (!setting.path.starts_with(prefix)) {
                continue;
            }
            const std::string_view rest = setting.path.substr(prefix.size());
            const std::string shown = shownPrefix + std::string(rest);
            if (rest.find(EntryMark) != std::string_view::npos || this->present.contains(shown)) {
                continue;
            }
            if (setting.presence == Presence::Required) {
                this->fail(this->lineOfSection(shown, line), shown, "expected " + expectedValue(setting) + "; it is missing");
            }
            if (setting.presence == Presence::Defaulted) {
                this->store(setting, setting.defaultText);
            }
        }
    }

    int lineOfSection(const std::string &shown, int line) const
    {
        const auto section = this->sectionLines.find(shown.substr(0, shown.rfind('.')));
        return section == this->sectionLines.end() ? line : section->second;
    }

    /** Read the secret from its file if it is given by one. */
    void readKeyFile()
    {
        const bool keyGiven = this->present.contains("peer.key");
        const bool fileGiven = this->present.contains("peer.keyFile");
        const int line = this->lineOfSection("peer.key", 1);
        if (keyGiven == fileGiven) {
            this->fail(line, "peer.key", "expected either this or peer.keyFile");
            return;
        }
        if (!fileGiven) {
            return;
        }
        const std::filesystem::path path = std::filesystem::path(this->file).parent_path() / this->settings.peerKeyFile;
        std::ifstream stream(path);
        std::string key;
        if (!std::getline(stream, key) || !this->store(*findSetting("peer.key"), key)) {
            const std::string expected = "expected the path of a file whose first line is ";
            this->fail(line, "peer.keyFile", expected + expectedValue(*findSetting("peer.key")));
        }
    }

    /** Check what no single row can. */
    void checkTogether(const YAML::Node &root)
    {
        this->checkNames(root["teams"], "teams");
        this->checkNames(root["operators"], "operators");
        this->checkListeners(root["listen"]);
    }

    void checkNames(const YAML::Node &entries, const std::string &key)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            const YAML::Node name = entries[index]["name"];
            if (!names.insert(name.Scalar()).second) {
                this->fail(lineOf(name), key + "[" + std::to_string(index) + "].name", "expected a name that no earlier entry has");
            }
        }
    }

    void checkListeners(const YAML::Node &listen)
    {
        std::set<std::string> addresses;
        for (const auto &entry : listen) {
            const std::string key = "listen." + entry.first.Scalar();
            if (!addresses.insert(entry.second.Scalar()).second) {
                this->fail(lineOf(entry.second), key, "expected an address that no other listener has");
            }
        }
        const std::string &peer = this->settings.peerListen.value;
        if (peer.starts_with("0.0.0.0:") || peer.starts_with("[::]:")) {
            this->fail(lineOf(listen["peer"]), "listen.peer", "expected an address that peers can open links to");
        }
    }

    std::string file; ///< Name of the file, for errors.
    Settings settings; ///< What was read so far.
    std::vector<LinedError> errors; ///< What is wrong.
    std::set<std::string> present; ///< Settings that the file has.
    std::map<std::string, int> sectionLines; ///< Lines of the sections that the file has.
};

std::vector<Error> oneError(const std::string &field, const std::string &message)
{
    return {makeError(ErrorCode::BadInput, message, field)};
}

} // namespace

SettingsResult readSettings(std::string_view text, const std::string &file)
{
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        return SettingsReader(file).read(root);
    } catch (const YAML::Exception &failure) {
        const int line = failure.mark.is_null() ? 1 : failure.mark.line + 1;
        return oneError(file + ":" + std::to_string(line) + ": settings", "expected YAML: " + failure.msg);
    }
}

SettingsResult readSettingsFile(const std::string &file)
{
    const std::ifstream stream(file);
    std::ostringstream text;
    if (!stream.is_open() || !(text << stream.rdbuf())) {
        return oneError(file + ":1: settings", "expected a file that can be read");
    }
    return readSettings(text.str(), file);
}

std::string settingsErrorLine(const Error &error)
{
    return error.field + ": " + error.message;
}

} // namespace Tanagertally
