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

constexpr std::string_view ListMarker = "[]";

/** Reads a YAML tree into Settings and collects all errors. */
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
        this->applyDefaults("", lineOf(root), "");
        if (this->errors.empty()) {
            this->readPeerKeyFile();
            this->checkCrossSettingRules(root);
        }
        if (this->errors.empty()) {
            return std::move(this->settings);
        }
        std::ranges::stable_sort(this->errors, {}, &LocatedError::line);
        std::vector<Error> found;
        for (LocatedError &entry : this->errors) {
            entry.error.field = this->file + ":" + std::to_string(entry.line) + ": " + entry.error.field;
            found.push_back(std::move(entry.error));
        }
        return found;
    }

private:
    void addError(int line, const std::string &key, const std::string &expected)
    {
        this->errors.push_back(LocatedError{line, makeError(ErrorCode::BadInput, expected, key)});
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

    /** @return The allowed keys of a map, separated by commas, for error messages. */
    static std::string allowedKeys(const std::string &prefix)
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
     * Reads a map.
     * @param prefix Path of the map in the table, such as "teams[]."; empty for the root.
     * @param displayPath Path of the map in errors, such as "teams[2].".
     */
    void readMap(const YAML::Node &node, const std::string &prefix, const std::string &displayPath)
    {
        if (!node.IsMap()) {
            const std::string key = displayPath.empty() ? "settings" : displayPath.substr(0, displayPath.size() - 1);
            this->addError(lineOf(node), key, "expected a map with the keys " + allowedKeys(prefix));
            return;
        }
        std::set<std::string> keys;
        for (const auto &entry : node) {
            const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
            if (!keys.insert(name).second) {
                this->addError(lineOf(entry.first), displayPath + name, "expected each key once");
                continue;
            }
            this->readEntry(entry.first, entry.second, prefix + name, displayPath + name, prefix);
        }
    }

    void readEntry(const YAML::Node &keyNode, const YAML::Node &value, const std::string &path, const std::string &displayPath,
                   const std::string &prefix)
    {
        const Setting *setting = findSetting(path);
        if (setting != nullptr) {
            this->presentSettings.insert(displayPath);
            this->readValue(*setting, keyNode, value, displayPath);
            return;
        }
        if (isSection(path)) {
            this->sectionLines.emplace(displayPath, lineOf(keyNode));
            this->readMap(value, path + ".", displayPath + ".");
            return;
        }
        this->addError(lineOf(keyNode), displayPath, "unknown key; expected one of " + allowedKeys(prefix));
    }

    void readValue(const Setting &setting, const YAML::Node &keyNode, const YAML::Node &value, const std::string &displayPath)
    {
        const int line = lineOf(keyNode);
        switch (setting.type) {
        case SettingType::MapList:
            this->readEntries(setting, line, value, displayPath);
            return;
        case SettingType::AddressList:
            this->readAddresses(setting, line, value, displayPath);
            return;
        case SettingType::Document:
            this->readFleet(value, displayPath);
            return;
        default:
            if (!value.IsScalar() || !this->storeIfValid(setting, value.Scalar())) {
                this->addError(line, displayPath, "expected " + expectedValue(setting));
            }
        }
    }

    /** Stores a text if it is valid for the setting. @return Whether it is valid. */
    bool storeIfValid(const Setting &setting, std::string_view text)
    {
        if (const auto *setNumber = std::get_if<NumberSetter>(&setting.set)) {
            const Result<std::int64_t> number = parseNumber(setting, text);
            if (number) {
                (*setNumber)(this->settings, number.value());
            }
            return number.has_value();
        }
        if (!isValidText(setting, text)) {
            return false;
        }
        std::get<TextSetter>(setting.set)(this->settings, text);
        return true;
    }

    static bool isListWithCountIn(const SettingRange &range, const YAML::Node &value)
    {
        const auto count = static_cast<std::int64_t>(value.size());
        return value.IsSequence() && count >= range.minimum && count <= range.maximum;
    }

    void readEntries(const Setting &setting, int line, const YAML::Node &value, const std::string &displayPath)
    {
        if (!isListWithCountIn(setting.range, value)) {
            this->addError(line, displayPath, "expected " + expectedValue(setting));
            return;
        }
        for (std::size_t index = 0; index < value.size(); ++index) {
            const std::string entry = displayPath + "[" + std::to_string(index) + "].";
            std::get<EntrySetter>(setting.set)(this->settings);
            this->readMap(value[index], std::string(setting.path) + "[].", entry);
            this->applyDefaults(std::string(setting.path) + "[].", lineOf(value[index]), entry);
        }
    }

    void readAddresses(const Setting &setting, int line, const YAML::Node &value, const std::string &displayPath)
    {
        if (!isListWithCountIn(setting.range, value)) {
            this->addError(line, displayPath, "expected " + expectedValue(setting));
            return;
        }
        for (std::size_t index = 0; index < value.size(); ++index) {
            if (!value[index].IsScalar() || !this->storeIfValid(setting, value[index].Scalar())) {
                this->addError(lineOf(value[index]), displayPath + "[" + std::to_string(index) + "]",
                               "expected an address IP:port with a numeric IP and a port from 1 to 65535");
            }
        }
    }

    void readFleet(const YAML::Node &value, const std::string &displayPath)
    {
        FleetYamlResult fleet = fleetConfigFromYaml(value, displayPath);
        if (fleet) {
            this->settings.fleet = std::move(fleet.value());
            return;
        }
        for (LocatedError &error : fleet.error()) {
            this->errors.push_back(std::move(error));
        }
    }

    /** Sets the defaults of the settings that a map doesn't have, and adds errors for the missing required ones. */
    void applyDefaults(const std::string &prefix, int line, const std::string &displayPrefix)
    {
        for (const Setting &setting : settingsTable()) {
            if (!setting.path.starts_with(prefix)) {
                continue;
            }
            const std::string_view rest = setting.path.substr(prefix.size());
            const std::string displayPath = displayPrefix + std::string(rest);
            if (rest.find(ListMarker) != std::string_view::npos || this->presentSettings.contains(displayPath)) {
                continue;
            }
            if (setting.presence == Presence::Required) {
                this->addError(this->lineOfSection(displayPath, line), displayPath,
                               "expected " + expectedValue(setting) + "; it is missing");
            }
            if (setting.presence == Presence::Defaulted) {
                this->storeIfValid(setting, setting.defaultText);
            }
        }
    }

    int lineOfSection(const std::string &displayPath, int line) const
    {
        const auto section = this->sectionLines.find(displayPath.substr(0, displayPath.rfind('.')));
        return section == this->sectionLines.end() ? line : section->second;
    }

    /** Reads the peer key from its file if the settings name one; exactly one of key and file has to be given. */
    void readPeerKeyFile()
    {
        const bool hasKey = this->presentSettings.contains("peer.key");
        const bool hasKeyFile = this->presentSettings.contains("peer.keyFile");
        const int line = this->lineOfSection("peer.key", 1);
        if (hasKey == hasKeyFile) {
            this->addError(line, "peer.key", "expected either this or peer.keyFile");
            return;
        }
        if (!hasKeyFile) {
            return;
        }
        const std::filesystem::path path = std::filesystem::path(this->file).parent_path() / this->settings.peerKeyFile;
        std::ifstream stream(path);
        std::string key;
        if (!std::getline(stream, key) || !this->storeIfValid(*findSetting("peer.key"), key)) {
            const std::string expected = "expected the path of a file whose first line is ";
            this->addError(line, "peer.keyFile", expected + expectedValue(*findSetting("peer.key")));
        }
    }

    /** Checks rules that involve more than one setting. */
    void checkCrossSettingRules(const YAML::Node &root)
    {
        this->checkUniqueNames(root["teams"], "teams");
        this->checkUniqueNames(root["operators"], "operators");
        this->checkListeners(root["listen"]);
    }

    void checkUniqueNames(const YAML::Node &entries, const std::string &key)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            const YAML::Node name = entries[index]["name"];
            if (!names.insert(name.Scalar()).second) {
                this->addError(lineOf(name), key + "[" + std::to_string(index) + "].name", "expected a name that no earlier entry has");
            }
        }
    }

    void checkListeners(const YAML::Node &listen)
    {
        std::set<std::string> addresses;
        for (const auto &entry : listen) {
            const std::string key = "listen." + entry.first.Scalar();
            if (!addresses.insert(entry.second.Scalar()).second) {
                this->addError(lineOf(entry.second), key, "expected an address that no other listener has");
            }
        }
        const std::string &peer = this->settings.peerListen.value;
        if (peer.starts_with("0.0.0.0:") || peer.starts_with("[::]:")) {
            this->addError(lineOf(listen["peer"]), "listen.peer", "expected an address that peers can open links to");
        }
    }

    std::string file; ///< Path of the settings file.
    Settings settings; ///< Settings read so far.
    std::vector<LocatedError> errors; ///< Errors found so far.
    std::set<std::string> presentSettings; ///< Display paths of the settings in the file.
    std::map<std::string, int> sectionLines; ///< Line of each section in the file, by display path.
};

std::vector<Error> singleError(const std::string &field, const std::string &message)
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
        return singleError(file + ":" + std::to_string(line) + ": settings", "expected YAML: " + failure.msg);
    }
}

SettingsResult readSettingsFile(const std::string &file)
{
    const std::ifstream stream(file);
    std::ostringstream text;
    if (!stream.is_open() || !(text << stream.rdbuf())) {
        return singleError(file + ":1: settings", "expected a file that can be read");
    }
    return readSettings(text.str(), file);
}

std::string settingsErrorLine(const Error &error)
{
    return error.field + ": " + error.message;
}

} // namespace Tanagertally
