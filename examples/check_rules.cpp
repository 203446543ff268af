// Parses a rules text and looks a key up, as an embedder with its own configuration source would.

#include "hornbeamgate/config/rules_parser.hpp"
#include "hornbeamgate/keys/key_ring.hpp"

#include <iostream>

using namespace hornbeamgate;

int main()
{
    const Bytes pepper(kMinPepperBytes, 7);
    auto hasher = KeyHasher::create(pepper);
    if (!hasher)
        return 1;
    const std::string text = "workspace wells requests=5/s burst=10 tokens=1000/s token-burst=4000 # asked by Ana\n"
                             "key wells-1 workspace=wells hash="
        + hasher->hash("hbg_example").toHex() + " # asked by Ana\n";

    const auto rules = parseRules(text);
    if (!rules) {
        for (const auto& fault : rules.error())
            std::cerr << fault.line << ':' << fault.column << ": " << fault.text << '\n';
        return 1;
    }
    const auto keys = KeyRing::create(*rules, *hasher);
    const auto owner = keys ? keys->find("hbg_example") : std::nullopt;
    std::cout << "the key belongs to " << (owner ? owner->workspace.value() : "nobody") << '\n';
    return owner ? 0 : 1;
}
