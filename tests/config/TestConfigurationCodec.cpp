#include "GenerateConfiguration.h"
#include "almondlever/config/ConfigurationCodec.h"

#include <criterion/criterion.h>

using namespace almondlever;

// Guards against a property that is lost or changed by encoding and decoding.
Test(ConfigurationCodec, decodesWhatItEncoded)
{
    cr_assert(rc::check("encoding of the decoded configuration is the same", [] {
        const Configuration original = generateConfiguration();
        const std::string bytes = encodeConfiguration(original);
        const auto decoded = decodeConfiguration(bytes, 7);
        RC_ASSERT(decoded.hasValue());
        RC_ASSERT(decoded.value().version == 7u);
        RC_ASSERT(encodeConfiguration(decoded.value()) == bytes);
    }));
}

// Guards against rewriting all parts for a new version because a list was reordered.
Test(ConfigurationCodec, doesNotDependOnTheOrderOfNamedLists)
{
    cr_assert(rc::check("reversed lists give the same bytes", [] {
        const Configuration original = generateConfiguration();
        Configuration reversed = original;
        std::reverse(reversed.failureDomains.begin(), reversed.failureDomains.end());
        std::reverse(reversed.databases.begin(), reversed.databases.end());
        std::reverse(reversed.callers.begin(), reversed.callers.end());
        RC_ASSERT(encodeConfiguration(reversed) == encodeConfiguration(original));
    }));
}

// Guards against malformed input that causes an exception or a configuration with dangling references.
Test(ConfigurationCodec, neverThrowsOnChangedBytes)
{
    cr_assert(rc::check("changed bytes give an error or a configuration whose references hold", [] {
        std::string bytes = encodeConfiguration(generateConfiguration());
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::arbitrary<std::size_t>(), rc::gen::arbitrary<char>()));
        for (const auto& [place, byte] : changes)
            bytes[place % bytes.size()] = byte;
        const auto decoded = decodeConfiguration(bytes, 1);
        if (!decoded)
            return;
        for (const CallerRule& caller : decoded.value().callers) {
            RC_ASSERT(caller.rank < decoded.value().ranks.size());
            for (const DatabaseId& database : caller.databases)
                RC_ASSERT(decoded.value().findDatabase(database) != nullptr);
        }
    }));
}

// Guards against integer wrap-around: a negative count must not become a very large one.
Test(ConfigurationCodec, rejectsNumbersOfTheWrongKind)
{
    Configuration configuration;
    configuration.deployment = "d";
    configuration.ranks.push_back({ RankName("r"), 0.5, Milliseconds(100), 77, 2048 });
    const std::string bytes = encodeConfiguration(configuration);
    cr_assert(decodeConfiguration(bytes, 1).hasValue());
    for (const char* wrong : { "-77", "77.5", "\"77\"", "null", "99999999999999999999" }) {
        std::string changed = bytes;
        changed.replace(changed.find(":77") + 1, 2, wrong);
        cr_assert(!decodeConfiguration(changed, 1).hasValue(), "%s was accepted", wrong);
    }
}

// Guards against a crash on documents with a different structure, which any peer or tool could store.
Test(ConfigurationCodec, rejectsDocumentsOfOtherStructure)
{
    for (const char* text :
        { "", "null", "[]", "{}", "{\"format\":2}", "\xff\xfe", "{\"format\":1,\"deployment\":[]}" })
        cr_assert(!decodeConfiguration(text, 1).hasValue(), "%s was accepted", text);
    cr_assert(!decodeConfiguration(std::string(100000, '['), 1).hasValue());
}
