/** Generates random peer messages and prints them for comparison, using the field lists of peer_fields.h. */
#pragma once

#include "peer/peer_fields.h"

#include <rapidcheck.h>

namespace Tanagertally::PeerTests {

/** Field visitor that sets every field of a structure to a random value. */
class FieldGenerator
{
public:
    template<typename T>
    void operator()(std::string_view /*name*/, T &value)
    {
        randomize(value);
    }
    template<typename T>
    void operator()(std::string_view /*name*/, std::vector<T> &values, PeerFields::Bounds bounds)
    {
        values.resize(*rc::gen::inRange<std::size_t>(bounds.minSize, 5));
        for (T &value : values) {
            randomize(value);
        }
    }
    void operator()(std::string_view /*name*/, Payload &value, PeerFields::Presence presence)
    {
        if (presence == PeerFields::Presence::Required || *rc::gen::arbitrary<bool>()) {
            value = std::make_shared<const std::string>(*rc::gen::arbitrary<std::string>());
        }
    }
    template<typename Variant, std::size_t Index = 0>
    static Variant makeAlternative(std::size_t index)
    {
        if constexpr (Index + 1 < std::variant_size_v<Variant>) {
            if (index != Index) {
                return makeAlternative<Variant, Index + 1>(index);
            }
        }
        Variant result(std::in_place_index<Index>);
        FieldGenerator fields;
        PeerFields::visitFields(fields, std::get<Index>(result));
        return result;
    }

private:
    template<typename T>
    static void randomize(T &value)
    {
        if constexpr (std::is_floating_point_v<T>) {
            value = *rc::gen::inRange(-1'000'000, 1'000'000) / 1024.0;
        } else if constexpr (std::is_enum_v<T>) {
            value = static_cast<T>(*rc::gen::inRange(0, static_cast<int>(PeerFields::LastEnumerator<T>) + 1));
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            value = *rc::gen::arbitrary<T>();
        } else {
            FieldGenerator fields;
            PeerFields::visitFields(fields, value);
        }
    }
    template<typename Tag, typename Rep>
    static void randomize(StrongInt<Tag, Rep> &value)
    {
        value.value = *rc::gen::arbitrary<Rep>();
    }
    template<typename Tag>
    static void randomize(StrongString<Tag> &value)
    {
        value.value = *rc::gen::arbitrary<std::string>();
    }
    static void randomize(Duration &value)
    {
        value = Duration(*rc::gen::arbitrary<std::int64_t>());
    }
    static void randomize(std::optional<Duration> &value)
    {
        if (*rc::gen::arbitrary<bool>()) {
            randomize(value.emplace());
        }
    }
    static void randomize(CallerReply &value)
    {
        value = makeAlternative<CallerReply>(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<CallerReply>));
    }
};

/** Field visitor that prints every field as text, so that two values can be compared independently of the codec. */
class FieldPrinter
{
public:
    std::string text; ///< Output so far.

    template<typename T>
    void operator()(std::string_view name, const T &value)
    {
        this->text += std::string(name) + "=";
        this->print(value);
        this->text += ";";
    }
    template<typename T>
    void operator()(std::string_view name, const std::vector<T> &values, PeerFields::Bounds /*bounds*/)
    {
        this->text += std::string(name) + "[" + std::to_string(values.size()) + "]";
        for (const T &value : values) {
            (*this)("", value);
        }
    }
    void operator()(std::string_view name, const Payload &value, PeerFields::Presence /*presence*/)
    {
        (*this)(name, value ? "text " + *value : std::string("null"));
    }
    template<typename... Ts>
    void print(const std::variant<Ts...> &value)
    {
        this->text += std::to_string(value.index()) + "{";
        std::visit([this](const auto &alternative) { PeerFields::visitFields(*this, alternative); }, value);
        this->text += "}";
    }

private:
    template<typename T>
    void print(const T &value)
    {
        if constexpr (std::is_same_v<T, std::string>) {
            this->text += value;
        } else if constexpr (std::is_enum_v<T>) {
            this->text += std::to_string(static_cast<int>(value));
        } else if constexpr (std::is_arithmetic_v<T>) {
            this->text += std::to_string(value);
        } else {
            this->text += "{";
            PeerFields::visitFields(*this, value);
            this->text += "}";
        }
    }
    template<typename Tag, typename Rep>
    void print(const StrongInt<Tag, Rep> &value)
    {
        this->print(value.value);
    }
    template<typename Tag>
    void print(const StrongString<Tag> &value)
    {
        this->print(value.value);
    }
    void print(const Duration &value)
    {
        this->print(value.count());
    }
    void print(const std::optional<Duration> &value)
    {
        this->print(value ? std::to_string(value->count()) : std::string("none"));
    }
};

/** @return A textual representation of all fields of a message. */
inline std::string toString(const PeerMessage &message)
{
    FieldPrinter printer;
    printer.print(message);
    return printer.text;
}

} // namespace Tanagertally::PeerTests
