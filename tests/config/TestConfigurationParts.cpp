#include "almondlever/config/ConfigurationParts.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace almondlever;

namespace {

constexpr WallTime start { std::chrono::hours(500000) };

ApplyDetails detailsAt(std::chrono::seconds sinceStart)
{
    return { "apply-" + std::to_string(sinceStart.count()), "operator", start + sinceStart };
}

/** A configuration of two parts, of which the first is the same in every variant. */
std::string twoPartBytes(char variant) { return std::string(maximumPartBytes, 'a') + variant; }

std::vector<std::string> contentsOf(const PreparedRelease& prepared)
{
    std::vector<std::string> contents;
    for (const ConfigurationPart& part : prepared.newParts)
        contents.push_back(part.content);
    return contents;
}

} // namespace

// Guards against a hash that other tools cannot verify; the expected value is the published SHA-256 test vector for
// "abc".
Test(ConfigurationParts, matchesPublishedSha256Vector)
{
    cr_assert(hashContent("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against parts above the size limit and against bytes lost at a part boundary.
Test(ConfigurationParts, splitsAndJoins)
{
    for (const std::size_t size :
        { std::size_t { 0 }, std::size_t { 1 }, maximumPartBytes, maximumPartBytes + 1, 3 * maximumPartBytes - 1 }) {
        std::string bytes(size, 'x');
        for (std::size_t i = 0; i < size; i += 1000)
            bytes[i] = static_cast<char>('a' + i % 26);
        const PreparedRelease prepared = prepareRelease(bytes, std::nullopt, detailsAt(std::chrono::seconds(1)));
        for (const ConfigurationPart& part : prepared.newParts)
            cr_assert(part.content.size() <= maximumPartBytes);
        const auto joined = joinParts(prepared.head.current.parts, contentsOf(prepared));
        cr_assert(joined.hasValue() && joined.value() == bytes, "size %zu", size);
    }
}

// Guards against assembling a configuration from corrupt, swapped or missing parts.
Test(ConfigurationParts, rejectsPartsThatDoNotMatchTheirHash)
{
    const PreparedRelease prepared
        = prepareRelease(twoPartBytes('x'), std::nullopt, detailsAt(std::chrono::seconds(1)));
    auto contents = contentsOf(prepared);
    std::swap(contents[0], contents[1]);
    cr_assert(!joinParts(prepared.head.current.parts, contents).hasValue());
    contents.pop_back();
    cr_assert(!joinParts(prepared.head.current.parts, contents).hasValue());
}

// Guards against rewriting parts that the current release already has.
Test(ConfigurationParts, reusesPartsOfTheCurrentRelease)
{
    const PreparedRelease first = prepareRelease(twoPartBytes('x'), std::nullopt, detailsAt(std::chrono::seconds(1)));
    const PreparedRelease second = prepareRelease(twoPartBytes('y'), first.head, detailsAt(std::chrono::seconds(2)));
    cr_assert(second.head.current.version == 2);
    cr_assert(second.newParts.size() == 1);
    cr_assert(second.head.current.parts[0].key() == first.head.current.parts[0].key());
}

// Guards against deleting parts that a reader still needs and against retaining them forever.
Test(ConfigurationParts, keepsRecentReleasesOnly)
{
    std::optional<ConfigurationHead> head;
    for (int i = 0; i < 40; ++i)
        head = prepareRelease(std::to_string(i), head, detailsAt(std::chrono::seconds(60 * i))).head;
    // Replaced within ten minutes before the last apply at minute 39: those applied at minutes 29 to 38.
    cr_assert(head->previous.size() == 10, "%zu kept", head->previous.size());
    head = prepareRelease("later", head, detailsAt(std::chrono::hours(100))).head;
    cr_assert(head->previous.size() == 3, "%zu kept", head->previous.size());
    for (int i = 0; i < 40; ++i)
        head = prepareRelease(std::to_string(i), head, detailsAt(std::chrono::hours(200) + std::chrono::seconds(i)))
                   .head;
    cr_assert(head->previous.size() == 32, "%zu kept", head->previous.size());
}

// Guards against collecting parts in use, parts of a running apply, and unrelated keys.
Test(ConfigurationParts, findsOnlyUnusedPartsOfOlderApplies)
{
    const PreparedRelease first = prepareRelease("one", std::nullopt, detailsAt(std::chrono::seconds(1)));
    const PreparedRelease second = prepareRelease("two", first.head, detailsAt(std::chrono::seconds(2)));
    const PartReference lostRace { hashContent("lost"), 2 };
    const PartReference running { hashContent("running"), 3 };
    const std::vector<std::string> stored { first.head.current.parts[0].key(), second.head.current.parts[0].key(),
        lostRace.key(), running.key(), "almondlever/config/head", "almondlever/config/parts/notes",
        "almondlever/config/parts/x/" + lostRace.sha256 };
    cr_assert(findGarbageParts(stored, second.head) == std::vector<std::string> { lostRace.key() });
}

// Guards against collecting a part that the current or a retained release references, for any sequence of applies.
Test(ConfigurationParts, garbageIsNeverInUse)
{
    cr_assert(rc::check("collection after any history keeps what every later head needs", [] {
        const auto history = *rc::gen::nonEmpty(rc::gen::container<std::vector<char>>(rc::gen::inRange('a', 'e')));
        std::optional<ConfigurationHead> head;
        std::vector<std::string> stored;
        int minute = 0;
        for (const char variant : history) {
            const PreparedRelease prepared
                = prepareRelease(twoPartBytes(variant), head, detailsAt(std::chrono::minutes(7 * ++minute)));
            for (const ConfigurationPart& part : prepared.newParts)
                stored.push_back(part.reference.key());
            // The collector may still use the head that the apply started from.
            const auto garbage = findGarbageParts(stored, head ? *head : prepared.head);
            for (const PartReference& part : prepared.head.current.parts)
                RC_ASSERT(std::find(garbage.begin(), garbage.end(), part.key()) == garbage.end());
            for (const std::string& key : garbage)
                stored.erase(std::remove(stored.begin(), stored.end(), key), stored.end());
            head = prepared.head;
        }
    }));
}

// Guards against losing the history that is needed to resolve a lost response.
Test(ConfigurationParts, decodesTheHeadItEncoded)
{
    const PreparedRelease first = prepareRelease("one", std::nullopt, detailsAt(std::chrono::seconds(1)));
    const PreparedRelease second = prepareRelease("two", first.head, detailsAt(std::chrono::seconds(2)));
    const std::string bytes = encodeHead(second.head);
    const auto decoded = decodeHead(bytes);
    cr_assert(decoded.hasValue());
    cr_assert(encodeHead(decoded.value()) == bytes);
    cr_assert(decoded.value().findApply("apply-1")->version == 1);
    cr_assert(decoded.value().findVersion(2)->applyId == "apply-2");
    cr_assert(decoded.value().findApply("apply-3") == nullptr);
}

// Guards against an exception on a malformed head, which would stop every daemon that watches it.
Test(ConfigurationParts, neverThrowsOnMalformedHeads)
{
    const std::string bytes = encodeHead(prepareRelease("one", std::nullopt, detailsAt(std::chrono::seconds(1))).head);
    for (const char* text : { "", "[]", "{}", "\xff", "{\"format\":1}" })
        cr_assert(!decodeHead(text).hasValue());
    cr_assert(rc::check("a changed byte gives an error or a head", [&] {
        std::string changed = bytes;
        changed[*rc::gen::inRange<std::size_t>(0, changed.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodeHead(changed);
        if (decoded)
            RC_ASSERT(!decoded.value().current.parts.empty());
    }));
}
