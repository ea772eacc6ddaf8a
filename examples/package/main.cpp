#include <almondlever/config/ConfigurationLoader.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

almondlever::ConfigurationSource readSource(const std::string& file)
{
    std::ifstream stream(file);
    return { file, { std::istreambuf_iterator<char>(stream), {} } };
}

} // namespace

/** Reports the databases of an inventory, or its findings. Usage: check_inventory FOLDER */
int main(int argumentCount, char** arguments)
{
    if (argumentCount != 2)
        return 2;
    const std::string folder = arguments[1];
    const auto loaded
        = almondlever::loadConfiguration(readSource(folder + "/inventory.yaml"), readSource(folder + "/rules.yaml"));
    if (!loaded) {
        for (const almondlever::Finding& finding : loaded.error())
            std::cout << almondlever::describe(finding) << '\n';
        return 1;
    }
    std::cout << loaded.value().databases.size() << " databases\n";
    return 0;
}
