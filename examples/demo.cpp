int main() { }
