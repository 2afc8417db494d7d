#include "settings/text_file.h"

#include <fstream>
#include <sstream>

namespace mimosacart {

std::optional<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace mimosacart
